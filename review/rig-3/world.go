package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the interval of check-ins, as in the users' example of settings.
const heartbeat = 770 * time.Millisecond

// world is a small deployment on loopback addresses.
type world struct {
	root, dir, temp string
	trouble         bool
	started         time.Time
	mu              sync.Mutex
	record          *os.File
	prefix          string
	packetPort      int
	ports           []int
	store           *store
	routers         *routers
	machines        []*machine
	// firstBeat is the time from an endpoint's start to its first check-in.
	firstBeat time.Duration
	// catchFirst gets the first check-in of the next endpoint in place of its agent.
	catchFirst *checkIn
}

// machine is a machine with one process of the product.
type machine struct {
	w                                *world
	name, zone, role, service        string
	ip                               string
	packet, peer, ready, metrics     string
	outbound, control, app, settings string
	mu                               sync.Mutex
	process                          *exec.Cmd
	exited                           chan struct{}
	logFile                          *os.File
}

func newWorld(root, dir string) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, dir: dir, temp: temp, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record,
		prefix: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(64), 1+rand.IntN(250)),
	}
	if err := w.findPorts(7); err != nil {
		return nil, err
	}
	w.packetPort = w.ports[0]
	if w.store, err = newStore(w); err != nil {
		return nil, err
	}
	w.routers = &routers{w: w, missed: map[string]int{}}
	go w.routers.run()
	w.log("disruption: %v", w.trouble)
	return w, nil
}

func (w *world) ip(n int) string { return w.prefix + fmt.Sprint(n) }

// findPorts finds ports that are free at all addresses.
func (w *world) findPorts(n int) error {
	for range 1000 {
		port := 10000 + rand.IntN(20000)
		t, err := net.Listen("tcp4", fmt.Sprintf(":%d", port))
		if err != nil {
			continue
		}
		t.Close()
		u, err := net.ListenPacket("udp4", fmt.Sprintf(":%d", port))
		if err != nil {
			continue
		}
		u.Close()
		if slices.Contains(w.ports, port) {
			continue
		}
		if w.ports = append(w.ports, port); len(w.ports) == n {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

func (w *world) sleep(seconds float64) { time.Sleep(time.Duration(seconds * float64(time.Second))) }

// waitFor waits until a condition holds, for some seconds at most.
func (w *world) waitFor(seconds float64, condition func() bool) bool {
	for deadline := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func udpAddr(address string) *net.UDPAddr {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		panic(err)
	}
	return a
}

// addMachine adds a machine and writes the settings file of its process.
func (w *world) addMachine(name, zone, role, service string) (*machine, error) {
	ip := w.ip(len(w.machines) + 1)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, w.ports[i]) }
	m := &machine{
		w: w, name: name, zone: zone, role: role, service: service, ip: ip,
		packet: at(0), peer: at(1), ready: at(2), metrics: at(3), outbound: at(4), control: at(5), app: at(6),
		settings: filepath.Join(w.temp, name+".toml"),
	}
	var s strings.Builder
	fmt.Fprintf(&s, "node = %q\ndomain = %q\nsegments = %q\npeer = %q\nready = %q\nmetrics = %q\nstop_timeout = \"6s\"\n", name, zone, m.packet, m.peer, m.ready, m.metrics)
	if role == "agent" {
		fmt.Fprintf(&s, "outbound = %q\nannounce = %q\ntarget = %q\nservice = %q\nheartbeat_interval = %q\n", m.outbound, m.control, m.app, service, heartbeat)
	} else {
		s.WriteString("apply_timeout = \"3000ms\"\n")
	}
	fmt.Fprintf(&s, "\n[store]\naddress = %q\n", w.store.address)
	if err := os.WriteFile(m.settings, []byte(s.String()), 0o600); err != nil {
		return nil, err
	}
	var err error
	if m.logFile, err = os.Create(filepath.Join(w.temp, name+".log")); err != nil {
		return nil, err
	}
	w.machines = append(w.machines, m)
	return m, nil
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := exec.Command(filepath.Join(m.w.root, "target", "amaranthwheel"), "direct", m.role)
	c.Dir = m.w.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.w.temp, "LANG=C", "AMARANTHWHEEL_NODE_FILE=" + m.settings}
	c.Stdout, c.Stderr = m.logFile, m.logFile
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	m.process, m.exited = c, exited
	m.w.log("%s on %s starts, process %d", m.role, m.name, c.Process.Pid)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
		m.w.log("%s on %s gets signal %v", m.role, m.name, s)
	}
}

// stop stops the process as the platform does in planned work: SIGTERM, and SIGKILL after 6 s.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	m.w.log("%s on %s has ended", m.role, m.name)
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// restart is a planned restart, with a short delay before the start.
func (m *machine) restart() error {
	m.stop()
	time.Sleep(200 * time.Millisecond)
	return m.start()
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + m.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// close ends everything that the script started, and keeps the end of the processes' logs.
func (w *world) close() {
	for _, m := range w.machines {
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.exited
		}
		m.logFile.Close()
	}
	w.store.close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", w.temp, keep).Run()
	}
	_ = os.RemoveAll(w.temp)
	w.record.Close()
}

// routers forward each packet to a balancer by the hash of its addresses over those in rotation.
type routers struct {
	w      *world
	mu     sync.Mutex
	missed map[string]int
	inUse  []*machine
}

func (r *routers) run() {
	for range time.Tick(500 * time.Millisecond) {
		var inUse, all []*machine
		for _, m := range slices.Clone(r.w.machines) {
			if m.role != "balancer" {
				continue
			}
			all = append(all, m)
			ok := m.isReady()
			r.mu.Lock()
			if ok {
				r.missed[m.name] = 0
			} else {
				r.missed[m.name]++
			}
			if r.missed[m.name] < 2 {
				inUse = append(inUse, m)
			}
			r.mu.Unlock()
		}
		if 2*len(inUse) < len(all) {
			inUse = all
		}
		r.mu.Lock()
		r.inUse = inUse
		r.mu.Unlock()
	}
}

func (r *routers) pick(p *packet) *net.UDPAddr {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inUse) == 0 {
		return nil
	}
	h := fnv.New32a()
	h.Write(p.src.ip[:])
	_ = binary.Write(h, binary.BigEndian, p.src.port)
	h.Write(p.dst.ip[:])
	_ = binary.Write(h, binary.BigEndian, p.dst.port)
	return udpAddr(r.inUse[int(h.Sum32()>>8)%len(r.inUse)].packet)
}

// configure writes a configuration with one route to a service, as the operator does.
func (w *world) configure(version int, service, kind string, objectiveMs int) end {
	route := end{[4]byte{198, 18, 0, 1}, 8443}
	w.store.operate("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":"198.18.0.1","prefix":"/8443/","type":%q,"timeout_ms":5000,"slo_ms":%d,"prio":1,"service":%q,"max_attempts":2}],`+
		`"services":[{"name":%q,"health_path":"/health","max_conns":2000,"proto":"h1","tls":false,"warmup_s":2.0,"warmup_per_s":0.0}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":60000}}`, version, kind, objectiveMs, service, service))
	w.log("operator writes configuration %d", version)
	return route
}
