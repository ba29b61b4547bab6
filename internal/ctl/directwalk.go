package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/internal/core/steering"
	"amaranthwheel.example/amaranthwheel/internal/direct"
)

const (
	// hostTimeout is how long one host may take to answer: many ways there and back.
	hostTimeout = 2 * time.Second
	// hostsAtOnce bounds the hosts that are asked at the same time.
	hostsAtOnce = 16
	// maxViewBytes bounds an answer: 5,500 agents of 200 bytes, with room.
	maxViewBytes = 4 << 20
)

// hostWalk asks hosts what they believe, and those that these name, until all have
// been asked. All listen at the same port.
type hostWalk struct {
	client http.Client
	views  map[netip.AddrPort]steering.View
	silent []silentAddress
}

// walkHosts begins with the hosts of the command line. It fails if none answers.
func walkHosts(ctx context.Context, cmd *cli.Command) (*hostWalk, error) {
	if f := outputFormat(cmd.String(flagOutput)); !f.valid() {
		return nil, inputErrorf("--%s %q is unknown; want table or json", flagOutput, f)
	}
	w := &hostWalk{client: http.Client{Timeout: hostTimeout}, views: make(map[netip.AddrPort]steering.View)}
	var next []netip.AddrPort
	for _, text := range cmd.StringSlice(flagHost) {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, inputErrorf("--%s %q is no address; want IP:PORT", flagHost, text)
		}
		next = append(next, address)
	}
	asked := make(map[netip.AddrPort]bool)
	for len(next) > 0 {
		for _, address := range next {
			asked[address] = true
		}
		next = w.ask(ctx, next, asked)
	}
	if len(w.views) == 0 {
		return nil, &noAnswerError{fmt.Sprintf("no host answered; the first: %s: %s", w.silent[0].Address, w.silent[0].Error)}
	}
	slices.SortFunc(w.silent, func(x, y silentAddress) int { return x.Address.Compare(y.Address) })
	return w, nil
}

// ask asks hosts and returns those that they name and nobody has asked.
func (w *hostWalk) ask(ctx context.Context, hosts []netip.AddrPort, asked map[netip.AddrPort]bool) []netip.AddrPort {
	var (
		mu    sync.Mutex
		group sync.WaitGroup
		named = make(map[netip.AddrPort]bool)
		slots = make(chan struct{}, hostsAtOnce)
	)
	for _, address := range hosts {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			var v steering.View
			err := w.get(ctx, address, direct.ViewPath, &v)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				w.silent = append(w.silent, silentAddress{address, err.Error()})
				return
			}
			w.views[address] = v
			for _, p := range v.Peers {
				if at := netip.AddrPortFrom(p.Address.Addr(), address.Port()); !asked[at] {
					named[at] = true
				}
			}
		})
	}
	group.Wait()
	return slices.SortedFunc(maps.Keys(named), netip.AddrPort.Compare)
}

// order returns the hosts that answered, by role and name.
func (w *hostWalk) order() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(w.views), func(x, y netip.AddrPort) int {
		a, b := w.views[x], w.views[y]
		if a.Role != b.Role {
			return strings.Compare(b.Role, a.Role) // balancers first
		}
		return strings.Compare(a.Node, b.Node)
	})
}

// get reads an answer of a host.
func (w *hostWalk) get(ctx context.Context, address netip.AddrPort, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxViewBytes)).Decode(answer)
}
