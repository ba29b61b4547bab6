package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"
)

// World is a small deployment: a store, machines with their processes, endpoints and a client.
type World struct {
	Record    *Record
	Store     *Store
	StoreAddr string
	Balancers []*Node
	Agents    []*Node
	Endpoints []*Endpoint
	Client    *Client
	net       int
	dir       string
}

// NewWorld returns a deployment without machines, on a loopback network that is free.
func NewWorld(record *Record) (*World, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, Store: NewStore(), dir: dir}
	for i := range 100 {
		w.net = 130 + (os.Getpid()+i)%100
		w.StoreAddr = fmt.Sprintf("127.%d.0.1:%d", w.net, portStore)
		if err = w.Store.Serve(w.StoreAddr); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	w.Client, err = NewClient(w.Address(3, 1), record)
	return w, err
}

// Address returns an address of the deployment's network.
func (w *World) Address(subnet, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.net, subnet, host)
}

// AddBalancer adds a machine with a balancer.
func (w *World) AddBalancer(zone string) *Node {
	i := len(w.Balancers) + 1
	n := &Node{Role: "balancer", Name: fmt.Sprintf("frontend-%s-%d", zone, i), Zone: zone, IP: w.Address(1, i), Store: w.StoreAddr, dir: w.dir, record: w.Record}
	w.Balancers = append(w.Balancers, n)
	return n
}

// AddEndpoint adds a machine with an agent and an endpoint.
func (w *World) AddEndpoint(zone, service string) *Endpoint {
	i := len(w.Agents) + 1
	n := &Node{Role: "agent", Name: fmt.Sprintf("side-%s-%d", zone, i), Zone: zone, IP: w.Address(2, i), Service: service, Store: w.StoreAddr, dir: w.dir, record: w.Record}
	e := &Endpoint{ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Zone: zone, IP: n.IP}
	w.Agents, w.Endpoints = append(w.Agents, n), append(w.Endpoints, e)
	return e
}

// Start starts all processes and endpoints, and waits until the balancers are ready.
func (w *World) Start() error {
	for _, e := range w.Endpoints {
		if err := e.Start(w.Record); err != nil {
			return err
		}
	}
	for _, n := range append(append([]*Node{}, w.Agents...), w.Balancers...) {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range w.Balancers {
		if err := WaitReady(n, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until a balancer is ready.
func WaitReady(n *Node, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.Ready() {
			n.record.Note("%s is ready", n.Name)
			return nil
		}
	}
	return errors.New(n.Name + " is not ready")
}

// Close ends all that the deployment has started.
func (w *World) Close() {
	for _, n := range append(append([]*Node{}, w.Balancers...), w.Agents...) {
		n.Kill()
	}
	for _, e := range w.Endpoints {
		e.Stop()
	}
	w.Client.Close()
	w.Store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// Route is a route of a configuration.
type Route struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Type    string `json:"type"`
	Timeout int    `json:"timeout_ms"`
	SLO     int    `json:"slo_ms,omitempty"`
	Prio    int    `json:"prio"`
	Service string `json:"service"`
}

// Config is a configuration as the operator writes it.
type Config struct {
	Version  int              `json:"version"`
	Routes   []Route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

// NewConfig returns a configuration with the services.
func NewConfig(version int, services ...string) *Config {
	c := &Config{Version: version, Limits: map[string]any{"idle_timeout_ms": 15000}}
	for _, s := range services {
		c.Services = append(c.Services, map[string]any{"name": s, "health_path": "/health", "max_conns": 2000, "warmup_s": 2.0, "warmup_per_s": 0.0})
	}
	return c
}

// Add adds a route to a service.
func (c *Config) Add(name string, address netip.AddrPort, kind, service string) {
	c.Routes = append(c.Routes, Route{Name: name, Host: address.Addr().String(), Prefix: fmt.Sprintf("/%d/", address.Port()), Type: kind, Timeout: 4000, SLO: 250, Prio: 2, Service: service})
}

// Encode returns the configuration's text.
func (c *Config) Encode() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // it holds no value that can't be encoded
	}
	return text
}

// RouteAddress returns the address of a route.
func RouteAddress(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i / 250), byte(1 + i%250)}), uint16(port))
}

// sourceIP returns the address of a remote end.
func sourceIP(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
