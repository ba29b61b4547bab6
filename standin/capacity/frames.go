package capacity

import (
	"fmt"
	"syscall"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// Frame is what one control message costs.
type Frame struct {
	// Message is its protobuf frame, in bytes; Stream adds the framing of the
	// session and is what TCP carries.
	Message, Stream float64
	// Processor is the time that both ends spend, in seconds, measured as the
	// processor time of the process. It includes the kernel's share.
	Processor float64
}

// Frames is the control messages, and the map that a new node receives.
type Frames struct {
	Heartbeat, Ack, Digest, Member, Object Frame
	// BalancerMap and AgentMap are the stream bytes of everything that a new
	// node of the role follows.
	BalancerMap, AgentMap float64
}

const (
	// measuredMessages is how often each kind of message is sent.
	measuredMessages = 1000
	// recordsPerMessage keeps the parts of a map below the session's limit.
	recordsPerMessage = 100
)

// measureFrames sends messages of each kind over one session on loopback.
func measureFrames(p Plan) (Frames, error) {
	from, err := newHub(balancerRecord(p, 1))
	if err != nil {
		return Frames{}, err
	}
	defer from.Close()
	to, err := newHub(balancerRecord(p, 2))
	if err != nil {
		return Frames{}, err
	}
	defer to.Close()
	if err := from.connect(to); err != nil {
		return Frames{}, err
	}
	l := link{from: from, to: to, peer: balancerRecord(p, 2).Node}
	return l.frames(p)
}

// link is a session between two hubs of this process.
type link struct {
	from, to *hub
	peer     model.NodeID
}

func (l link) frames(p Plan) (Frames, error) {
	const version, sequence = 100_000, 1_000_000
	var f Frames
	kinds := []struct {
		into    *Frame
		message core.Message
	}{
		{&f.Heartbeat, core.Heartbeat{Sequence: sequence, ConfigVersion: version}},
		{&f.Ack, core.HeartbeatAck{Sequence: sequence}},
		{&f.Digest, core.Digest{ConfigVersion: version, Members: 1 << 62}},
		{&f.Member, core.Delta{Since: version, ConfigVersion: version, Members: []model.Member{agentRecord(p, 1, p.Services)}}},
		{&f.Object, core.Delta{Since: version - 1, ConfigVersion: version, Objects: []model.Object{serviceObject(p, 1)}}},
	}
	var err error
	for _, k := range kinds {
		if *k.into, err = l.measure(k.message); err != nil {
			return f, err
		}
	}
	if f.BalancerMap, err = l.transfer(balancerMap(p)); err != nil {
		return f, err
	}
	f.AgentMap, err = l.transfer(agentMap(p))
	return f, err
}

// measure sends one message many times, one after the other.
func (l link) measure(m core.Message) (Frame, error) {
	frames, stream, processor := l.from.Counters().BytesSent, l.to.received.Load(), processorTime()
	for range measuredMessages {
		l.from.Send(l.peer, m)
		if err := await[core.MessageReceived](l.to); err != nil {
			return Frame{}, fmt.Errorf("%T: %w", m, err)
		}
	}
	return Frame{
		Message:   float64(l.from.Counters().BytesSent-frames) / measuredMessages,
		Stream:    float64(l.to.received.Load()-stream) / measuredMessages,
		Processor: (processorTime() - processor).Seconds() / measuredMessages,
	}, nil
}

// transfer returns the stream bytes of several messages.
func (l link) transfer(messages []core.Message) (float64, error) {
	stream := l.to.received.Load()
	for _, m := range messages {
		l.from.Send(l.peer, m)
		if err := await[core.MessageReceived](l.to); err != nil {
			return 0, fmt.Errorf("map: %w", err)
		}
	}
	return float64(l.to.received.Load() - stream), nil
}

// balancerMap is every record and every object.
func balancerMap(p Plan) []core.Message {
	members := balancerRecords(p)
	for i := range p.Targets {
		members = append(members, agentRecord(p, i, p.Services))
	}
	var objects []model.Object
	for i := range p.Services {
		objects = append(objects, serviceObject(p, i))
	}
	return parts(members, objects)
}

// agentMap is every balancer, the agents of one service and the service.
func agentMap(p Plan) []core.Message {
	members := balancerRecords(p)
	for i := range agentsPerService {
		members = append(members, agentRecord(p, i*p.Services, p.Services))
	}
	return parts(members, []model.Object{serviceObject(p, 0)})
}

func balancerRecords(p Plan) []model.Member {
	var out []model.Member
	for i := range p.Balancers {
		out = append(out, balancerRecord(p, i))
	}
	return out
}

// parts cuts a map into messages.
func parts(members []model.Member, objects []model.Object) []core.Message {
	var out []core.Message
	for len(members) > 0 {
		n := min(recordsPerMessage, len(members))
		out = append(out, core.Delta{Members: members[:n]})
		members = members[n:]
	}
	for len(objects) > 0 {
		n := min(recordsPerMessage, len(objects))
		out = append(out, core.Delta{Objects: objects[:n]})
		objects = objects[n:]
	}
	return out
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
