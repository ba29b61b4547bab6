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
	// hostTimeout is the timeout of a query to one host: many round trips.
	hostTimeout = 2 * time.Second
	// maxConcurrentHosts is the maximum number of hosts that are queried
	// concurrently.
	maxConcurrentHosts = 16
	// maxViewBytes is the maximum size of a response: 5,500 agents of 200
	// bytes, with a margin.
	maxViewBytes = 4 << 20
)

// hostDiscovery queries hosts for their views, and then the peers in these
// views, until all hosts have been queried. All hosts use the same port.
type hostDiscovery struct {
	client http.Client
	views  map[netip.AddrPort]steering.View
	failed []failedQuery
}

// discoverHosts starts at the hosts on the command line. It fails if no host
// responds.
func discoverHosts(ctx context.Context, cmd *cli.Command) (*hostDiscovery, error) {
	if _, err := readFormat(cmd); err != nil {
		return nil, err
	}
	d := &hostDiscovery{client: http.Client{Timeout: hostTimeout}, views: make(map[netip.AddrPort]steering.View)}
	var next []netip.AddrPort
	for _, text := range cmd.StringSlice(flagHost) {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, inputErrorf("--%s %q is no address; want IP:PORT", flagHost, text)
		}
		next = append(next, address)
	}
	queried := make(map[netip.AddrPort]bool)
	for len(next) > 0 {
		for _, address := range next {
			queried[address] = true
		}
		next = d.queryHosts(ctx, next, queried)
	}
	if len(d.views) == 0 {
		return nil, &noResponseError{fmt.Sprintf("no host answered; first error: %s: %s", d.failed[0].Address, d.failed[0].Error)}
	}
	slices.SortFunc(d.failed, func(x, y failedQuery) int { return x.Address.Compare(y.Address) })
	return d, nil
}

// queryHosts queries the hosts and returns the peers in their views that have
// not been queried.
func (d *hostDiscovery) queryHosts(ctx context.Context, hosts []netip.AddrPort, queried map[netip.AddrPort]bool) []netip.AddrPort {
	var (
		mu         sync.Mutex
		wg         sync.WaitGroup
		discovered = make(map[netip.AddrPort]bool)
		semaphore  = make(chan struct{}, maxConcurrentHosts)
	)
	for _, address := range hosts {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			var v steering.View
			err := d.getJSON(ctx, address, direct.ViewPath, &v)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				d.failed = append(d.failed, failedQuery{address, err.Error()})
				return
			}
			d.views[address] = v
			for _, p := range v.Peers {
				if peer := netip.AddrPortFrom(p.Address.Addr(), address.Port()); !queried[peer] {
					discovered[peer] = true
				}
			}
		})
	}
	wg.Wait()
	return slices.SortedFunc(maps.Keys(discovered), netip.AddrPort.Compare)
}

// sortedHosts returns the hosts that responded, sorted by role and name.
func (d *hostDiscovery) sortedHosts() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(d.views), func(x, y netip.AddrPort) int {
		a, b := d.views[x], d.views[y]
		if a.Role != b.Role {
			return strings.Compare(b.Role, a.Role) // balancers first
		}
		return strings.Compare(a.Node, b.Node)
	})
}

// getJSON sends a GET request to a host and decodes the response.
func (d *hostDiscovery) getJSON(ctx context.Context, address netip.AddrPort, path string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxViewBytes)).Decode(value)
}
