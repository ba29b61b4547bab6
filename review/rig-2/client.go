package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Errors of flows.
var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

const (
	// attemptTime is the time after which a client gives up opening a flow.
	attemptTime = 1400 * time.Millisecond
	// repeatAfter is the first interval of retransmissions, maxRepeat the longest.
	repeatAfter = 200 * time.Millisecond
	maxRepeat   = 1600 * time.Millisecond
)

// Client is a stand-in for a host of clients. It also plays the router: it sends each packet to
// the balancer that the flow's Via names at that moment.
type Client struct {
	ip     string
	record *Record
	conn   *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*ClientFlow
}

// ClientFlow is a client's end of a flow.
type ClientFlow struct {
	client *Client
	Key    flowKey
	// Via is the address of the balancer to which the router sends the packets.
	Via      string
	packets  chan Packet
	seq, ack uint32
}

// NewClient returns a client at an address.
func NewClient(ip string, record *Record) (*Client, error) {
	conn, err := net.ListenUDP("udp4", udpAddr(ip, portPackets))
	if err != nil {
		return nil, err
	}
	c := &Client{ip: ip, record: record, conn: conn, port: 20000, flows: make(map[uint16]*ClientFlow)}
	go c.read()
	return c, nil
}

// Close ends the client.
func (c *Client) Close() { _ = c.conn.Close() }

func (c *Client) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, intact := Decode(bytes.Clone(buf[:n]))
		if reset := p.Flags == flagRST && len(p.Data) == 0; !intact && !reset {
			c.record.Note("a client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Dst.Port()]
		c.mu.Unlock()
		if f == nil || f.Key.route != p.Src {
			continue
		}
		select {
		case f.packets <- p:
		default: // as lost on the way
		}
	}
}

func (f *ClientFlow) send(p *Packet) {
	p.Src, p.Dst = f.Key.client, f.Key.route
	_, _ = f.client.conn.WriteToUDP(p.Encode(), udpAddr(f.Via, portPackets)) // as lost on the way
}

// Open opens a flow to a route by way of a balancer.
func (c *Client) Open(route netip.AddrPort, via string) (*ClientFlow, error) {
	c.mu.Lock()
	c.port++
	f := &ClientFlow{
		client: c, Key: flowKey{netip.AddrPortFrom(netip.MustParseAddr(c.ip), c.port), route}, Via: via,
		packets: make(chan Packet, 64), seq: uint32(c.port) * 1000,
	}
	c.flows[c.port] = f
	c.mu.Unlock()
	end := time.After(attemptTime)
	syn := time.NewTimer(0)
	defer syn.Stop()
	waits := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}
	for copies := uint32(0); ; {
		select {
		case <-syn.C:
			f.send(&Packet{Flags: flagSYN, Seq: f.seq, Ack: copies})
			if int(copies) < len(waits) {
				syn.Reset(waits[copies])
			}
			copies++
		case p := <-f.packets:
			switch {
			case p.Flags&flagRST != 0:
				return f, errReset
			case p.Flags&flagSYN != 0:
				f.seq++
				f.ack = p.Seq + 1
				f.send(&Packet{Flags: flagACK, Seq: f.seq, Ack: f.ack})
				return f, nil
			}
		case <-end:
			return f, errTimeout
		}
	}
}

// Request sends a request and returns the answer.
func (f *ClientFlow) Request(request string, limit time.Duration) (string, error) {
	end := time.After(limit)
	pause := repeatAfter
	repeat := time.NewTimer(0)
	defer repeat.Stop()
	for {
		select {
		case <-repeat.C:
			f.send(&Packet{Flags: flagACK, Seq: f.seq, Ack: f.ack, Data: []byte(request)})
			repeat.Reset(pause)
			pause = min(2*pause, maxRepeat)
		case p := <-f.packets:
			switch {
			case p.Flags&flagRST != 0:
				return "", errReset
			case len(p.Data) > 0 && p.Seq == f.ack:
				f.seq += uint32(len(request))
				f.ack += uint32(len(p.Data))
				f.send(&Packet{Flags: flagACK, Seq: f.seq, Ack: f.ack})
				if !strings.HasPrefix(string(p.Data), "200 "+request+" by ") {
					return string(p.Data), fmt.Errorf("another answer: %q", p.Data)
				}
				return string(p.Data), nil
			}
		case <-end:
			return "", errTimeout
		}
	}
}

// Close closes the flow.
func (f *ClientFlow) Close() {
	f.send(&Packet{Flags: flagFIN | flagACK, Seq: f.seq, Ack: f.ack})
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.Key.client.Port())
}
