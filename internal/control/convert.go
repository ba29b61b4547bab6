package control

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"amaranthwheel.example/amaranthwheel/internal/controlpb"
	"amaranthwheel.example/amaranthwheel/internal/core"
	"amaranthwheel.example/amaranthwheel/internal/model"
)

// maxNameBytes is the maximum length of node, service, target and domain names.
const maxNameBytes = 255

// InvalidFieldError reports a message field whose value is out of range.
type InvalidFieldError struct {
	Field string
	Value any
}

// Error implements error.
func (e *InvalidFieldError) Error() string {
	return fmt.Sprintf("control message field %s has the invalid value %v", e.Field, e.Value)
}

// encodeFrame converts a core message to its frame. It returns an error for
// a message type that has no frame.
func encodeFrame(m core.Message) (*controlpb.Frame, error) {
	switch m := m.(type) {
	case core.Delta:
		return &controlpb.Frame{Body: &controlpb.Frame_Delta{Delta: encodeDelta(&m)}}, nil
	case core.Digest:
		body := &controlpb.Digest{ConfigVersion: m.ConfigVersion, Members: m.Members}
		return &controlpb.Frame{Body: &controlpb.Frame_Digest{Digest: body}}, nil
	case core.Pull:
		body := &controlpb.Pull{Since: m.Since}
		return &controlpb.Frame{Body: &controlpb.Frame_Pull{Pull: body}}, nil
	case core.Subscribe:
		body := &controlpb.Subscribe{Service: string(m.Service)}
		return &controlpb.Frame{Body: &controlpb.Frame_Subscribe{Subscribe: body}}, nil
	case core.Heartbeat:
		body := &controlpb.Heartbeat{Sequence: m.Sequence, ConfigVersion: m.ConfigVersion}
		return &controlpb.Frame{Body: &controlpb.Frame_Heartbeat{Heartbeat: body}}, nil
	case core.HeartbeatAck:
		body := &controlpb.HeartbeatAck{Sequence: m.Sequence}
		return &controlpb.Frame{Body: &controlpb.Frame_HeartbeatAck{HeartbeatAck: body}}, nil
	case core.MemberPull:
		body := &controlpb.MemberPull{Buckets: m.Buckets}
		return &controlpb.Frame{Body: &controlpb.Frame_MemberPull{MemberPull: body}}, nil
	case core.MemberBuckets:
		body := &controlpb.MemberBuckets{Count: m.Count, Indexes: m.Indexes, Members: encodeMembers(m.Members)}
		return &controlpb.Frame{Body: &controlpb.Frame_MemberBuckets{MemberBuckets: body}}, nil
	}
	return nil, fmt.Errorf("message type %T has no frame", m)
}

// decodeFrame converts a frame to its core message. It validates every field
// and rejects the whole message if one is invalid.
func decodeFrame(f *controlpb.Frame) (core.Message, error) {
	switch body := f.GetBody().(type) {
	case *controlpb.Frame_Delta:
		return decodeDelta(body.Delta)
	case *controlpb.Frame_Digest:
		return core.Digest{ConfigVersion: body.Digest.GetConfigVersion(), Members: body.Digest.GetMembers()}, nil
	case *controlpb.Frame_Pull:
		return core.Pull{Since: body.Pull.GetSince()}, nil
	case *controlpb.Frame_Subscribe:
		name := body.Subscribe.GetService()
		return core.Subscribe{Service: model.ServiceName(name)}, checkName("subscribe.service", name, true)
	case *controlpb.Frame_Heartbeat:
		return core.Heartbeat{Sequence: body.Heartbeat.GetSequence(), ConfigVersion: body.Heartbeat.GetConfigVersion()}, nil
	case *controlpb.Frame_HeartbeatAck:
		return core.HeartbeatAck{Sequence: body.HeartbeatAck.GetSequence()}, nil
	case *controlpb.Frame_MemberPull:
		return decodeMemberPull(body.MemberPull)
	case *controlpb.Frame_MemberBuckets:
		return decodeMemberBuckets(body.MemberBuckets)
	}
	return nil, &InvalidFieldError{"frame.body", "none"}
}

func encodeDelta(d *core.Delta) *controlpb.Delta {
	out := &controlpb.Delta{
		Service:       string(d.Service),
		Part:          d.Part,
		Parts:         d.Parts,
		Since:         d.Since,
		ConfigVersion: d.ConfigVersion,
		Members:       encodeMembers(d.Members),
	}
	for i := range d.Objects {
		out.Objects = append(out.Objects, encodeObject(&d.Objects[i]))
	}
	return out
}

func decodeDelta(d *controlpb.Delta) (core.Message, error) {
	out := core.Delta{
		Service:       model.ServiceName(d.GetService()),
		Part:          d.GetPart(),
		Parts:         d.GetParts(),
		Since:         d.GetSince(),
		ConfigVersion: d.GetConfigVersion(),
	}
	if err := checkName("delta.service", d.GetService(), true); err != nil {
		return nil, err
	}
	if out.Part > out.Parts || (out.Parts > 0 && out.Part == 0) {
		return nil, &InvalidFieldError{"delta.part", out.Part}
	}
	for _, o := range d.GetObjects() {
		object, err := decodeObject(o)
		if err != nil {
			return nil, err
		}
		out.Objects = append(out.Objects, object)
	}
	var err error
	out.Members, err = decodeMembers(d.GetMembers())
	if err != nil {
		return nil, err
	}
	return out, nil
}

// maxMemberBuckets is the maximum number of buckets in one message.
const maxMemberBuckets = 4096

func decodeMemberPull(p *controlpb.MemberPull) (core.Message, error) {
	if len(p.GetBuckets()) > maxMemberBuckets {
		return nil, &InvalidFieldError{"member_pull.buckets", len(p.GetBuckets())}
	}
	return core.MemberPull{Buckets: p.GetBuckets()}, nil
}

func decodeMemberBuckets(b *controlpb.MemberBuckets) (core.Message, error) {
	if b.GetCount() == 0 || b.GetCount() > maxMemberBuckets {
		return nil, &InvalidFieldError{"member_buckets.count", b.GetCount()}
	}
	for _, index := range b.GetIndexes() {
		if index >= b.GetCount() {
			return nil, &InvalidFieldError{"member_buckets.indexes", index}
		}
	}
	members, err := decodeMembers(b.GetMembers())
	if err != nil {
		return nil, err
	}
	return core.MemberBuckets{Count: b.GetCount(), Indexes: b.GetIndexes(), Members: members}, nil
}

func encodeMembers(members []model.Member) []*controlpb.Member {
	var out []*controlpb.Member
	for i := range members {
		out = append(out, encodeMember(&members[i]))
	}
	return out
}

func decodeMembers(members []*controlpb.Member) ([]model.Member, error) {
	var out []model.Member
	for _, m := range members {
		member, err := decodeMember(m)
		if err != nil {
			return nil, err
		}
		out = append(out, member)
	}
	return out, nil
}

func encodeMember(m *model.Member) *controlpb.Member {
	return &controlpb.Member{
		Node:        string(m.Node),
		Role:        uint32(m.Role),
		Incarnation: m.Incarnation,
		Revision:    m.Revision,
		State:       uint32(m.State),
		Domain:      string(m.Domain),
		Data:        encodeAddr(m.DataAddr),
		Control:     encodeAddr(m.ControlAddr),
		Admin:       encodeAddr(m.AdminAddr),
		Service:     string(m.Service),
		Target:      string(m.Target),
		Slots:       uint32(m.Slots),
		Connections: uint32(m.Connections),
	}
}

func decodeMember(m *controlpb.Member) (model.Member, error) {
	d := decoder{}
	d.checkName("member.node", m.GetNode(), false)
	d.checkName("member.domain", m.GetDomain(), true)
	d.checkName("member.service", m.GetService(), true)
	d.checkName("member.target", m.GetTarget(), true)
	d.checkRange("member.role", m.GetRole(), uint32(model.RoleBalancer), uint32(model.RoleAgent))
	d.checkRange("member.state", m.GetState(), uint32(model.StateAlive), uint32(model.StateDead))
	d.checkRange("member.slots", m.GetSlots(), 0, math.MaxInt32)
	d.checkRange("member.connections", m.GetConnections(), 0, math.MaxInt32)
	out := model.Member{
		Node:        model.NodeID(m.GetNode()),
		Role:        model.Role(m.GetRole()),
		Incarnation: m.GetIncarnation(),
		Revision:    m.GetRevision(),
		State:       model.MemberState(m.GetState()),
		Domain:      model.DomainName(m.GetDomain()),
		DataAddr:    d.decodeAddr("member.data", m.GetData()),
		ControlAddr: d.decodeAddr("member.control", m.GetControl()),
		AdminAddr:   d.decodeAddr("member.admin", m.GetAdmin()),
		Service:     model.ServiceName(m.GetService()),
		Target:      model.TargetName(m.GetTarget()),
		Slots:       int(m.GetSlots()),
		Connections: int(m.GetConnections()),
	}
	return out, d.err
}

func encodeObject(o *model.Object) *controlpb.Object {
	out := &controlpb.Object{Kind: string(o.Key.Kind), Name: o.Key.Name, Version: o.Version}
	switch {
	case o.Service != nil:
		out.Body = &controlpb.Object_Service{Service: encodeService(o.Service)}
	case o.Domain != nil:
		out.Body = &controlpb.Object_Domain{Domain: &controlpb.Domain{Region: o.Domain.Region}}
	case o.DomainState != nil:
		out.Body = &controlpb.Object_DomainState{DomainState: &controlpb.DomainState{Out: o.DomainState.Out}}
	case o.TargetState != nil:
		out.Body = &controlpb.Object_TargetState{TargetState: &controlpb.TargetState{Drain: o.TargetState.Drain}}
	}
	return out
}

func decodeObject(o *controlpb.Object) (model.Object, error) {
	if err := checkName("object.name", o.GetName(), false); err != nil {
		return model.Object{}, err
	}
	out := model.Object{
		Key:     model.ObjectKey{Kind: model.ObjectKind(o.GetKind()), Name: o.GetName()},
		Version: o.GetVersion(),
	}
	var kind model.ObjectKind
	var err error
	switch body := o.GetBody().(type) {
	case *controlpb.Object_Service:
		kind = model.KindService
		out.Service, err = decodeService(o.GetName(), body.Service)
	case *controlpb.Object_Domain:
		kind = model.KindDomain
		out.Domain = &model.Domain{Name: model.DomainName(o.GetName()), Region: body.Domain.GetRegion()}
	case *controlpb.Object_DomainState:
		kind = model.KindDomainState
		out.DomainState = &model.DomainState{Name: model.DomainName(o.GetName()), Out: body.DomainState.GetOut()}
	case *controlpb.Object_TargetState:
		kind = model.KindTargetState
		out.TargetState = &model.TargetState{Name: model.TargetName(o.GetName()), Drain: body.TargetState.GetDrain()}
	default:
		kind = out.Key.Kind
	}
	if err == nil && (kind != out.Key.Kind || !isKnownKind(kind)) {
		err = &InvalidFieldError{"object.kind", o.GetKind()}
	}
	return out, err
}

func isKnownKind(kind model.ObjectKind) bool {
	switch kind {
	case model.KindService, model.KindDomain, model.KindDomainState, model.KindTargetState:
		return true
	}
	return false
}

func encodeService(s *model.Service) *controlpb.Service {
	out := &controlpb.Service{
		Mode:           string(s.Mode),
		Address:        encodeAddr(s.Address),
		Targets:        s.Targets,
		MaxSlots:       uint32(s.MaxSlots),
		MaxConnections: uint32(s.MaxConnections),
		IdleTimeout:    int64(s.IdleTimeout),
		RequestTimeout: int64(s.RequestTimeout),
	}
	for _, domain := range s.Domains {
		out.Domains = append(out.Domains, string(domain))
	}
	return out
}

func decodeService(name string, s *controlpb.Service) (*model.Service, error) {
	d := decoder{}
	mode := model.Mode(s.GetMode())
	if mode != model.ModeRequest && mode != model.ModeFlow {
		d.setError("service.mode", s.GetMode())
	}
	d.checkRange("service.max_slots", s.GetMaxSlots(), 0, math.MaxInt32)
	d.checkRange("service.max_connections", s.GetMaxConnections(), 0, math.MaxInt32)
	out := &model.Service{
		Name:           model.ServiceName(name),
		Mode:           mode,
		Address:        d.decodeAddr("service.address", s.GetAddress()),
		Targets:        s.GetTargets(),
		MaxSlots:       int(s.GetMaxSlots()),
		MaxConnections: int(s.GetMaxConnections()),
		IdleTimeout:    d.decodeDuration("service.idle_timeout", s.GetIdleTimeout()),
		RequestTimeout: d.decodeDuration("service.request_timeout", s.GetRequestTimeout()),
	}
	for _, domain := range s.GetDomains() {
		d.checkName("service.domains", domain, false)
		out.Domains = append(out.Domains, model.DomainName(domain))
	}
	for _, target := range s.GetTargets() {
		d.checkName("service.targets", target, false)
	}
	return out, d.err
}

func encodeAddr(addr netip.AddrPort) []byte {
	if !addr.IsValid() {
		return nil
	}
	b, _ := addr.MarshalBinary() // never fails
	return b
}

func checkName(field, name string, emptyAllowed bool) error {
	if len(name) > maxNameBytes || (name == "" && !emptyAllowed) {
		return &InvalidFieldError{field, name}
	}
	return nil
}

// decoder validates and converts fields, and records the first error.
type decoder struct{ err error }

func (d *decoder) setError(field string, value any) {
	if d.err == nil {
		d.err = &InvalidFieldError{field, value}
	}
}

func (d *decoder) checkName(field, name string, emptyAllowed bool) {
	if err := checkName(field, name, emptyAllowed); err != nil {
		d.setError(field, name)
	}
}

func (d *decoder) checkRange(field string, value, minimum, maximum uint32) {
	if value < minimum || value > maximum {
		d.setError(field, value)
	}
}

func (d *decoder) decodeDuration(field string, nanoseconds int64) time.Duration {
	if nanoseconds < 0 {
		d.setError(field, nanoseconds)
	}
	return time.Duration(nanoseconds)
}

func (d *decoder) decodeAddr(field string, b []byte) netip.AddrPort {
	if len(b) == 0 {
		return netip.AddrPort{}
	}
	var addr netip.AddrPort
	if err := addr.UnmarshalBinary(b); err != nil || !addr.IsValid() {
		d.setError(field, b)
	}
	return addr
}
