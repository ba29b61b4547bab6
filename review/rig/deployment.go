package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	desk  = "desk"
	plans = "plans"
)

func (r *rig) deskRoute() endpoint  { return endpointOf(r.ip(5, 1), 443) }
func (r *rig) plansRoute() endpoint { return endpointOf(r.ip(5, 2), 443) }

// configure writes the operator's configuration.
func (r *rig) configure(version int) {
	route := func(name, ip, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":"/443/","type":"non_idempotent","timeout_ms":5000,"slo_ms":300,"prio":1,"service":%q,"max_attempts":2}`, name, ip, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":2000,"proto":"h1","tls":false,"warmup_s":2.0,"warmup_per_s":0.0}`, name)
	}
	r.store.write("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"idle_timeout_ms":15000}}`, version,
		strings.Join([]string{route("r-desk", r.ip(5, 1), desk), route("r-plans", r.ip(5, 2), plans)}, ","),
		strings.Join([]string{service(desk), service(plans)}, ",")))
}

// deploy starts balancers in a zone and side machines with endpoints, and waits until flows open.
func (r *rig) deploy(zone string, balancers int, sides ...*host) error {
	r.configure(7)
	for n := range balancers {
		r.addHost(fmt.Sprintf("frontend-%s-%d", zone, n+1), zone, r.ip(1, n+1), "balancer", "")
	}
	for _, h := range r.hostList() {
		if err := r.startProcess(h); err != nil {
			return err
		}
	}
	for _, h := range sides {
		if _, err := r.startServer(h, "i-"+h.name, h.service); err != nil {
			return err
		}
	}
	for range 60 {
		time.Sleep(250 * time.Millisecond)
		if len(r.router.rotation()) < len(r.balancers) {
			continue
		}
		f := r.clients.open(r.deskRoute())
		if f != nil && f.request() == "answered" {
			time.Sleep(2 * time.Second) // all agents are listed by now
			return nil
		}
	}
	return fmt.Errorf("%w: the deployment does not serve", errSetup)
}

// openAt opens flows at once until count of them are held by the machine, and makes one
// request on each. Others are left alone.
func (r *rig) openAt(h *host, route endpoint, count int, until time.Time) []*clientFlow {
	var mu sync.Mutex
	var flows []*clientFlow
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			for time.Now().Before(until) {
				mu.Lock()
				enough := len(flows) >= count
				mu.Unlock()
				if enough {
					return
				}
				f := r.clients.open(route)
				if f == nil || f.request() != "answered" {
					continue
				}
				if r.holder(f) == h {
					mu.Lock()
					flows = append(flows, f)
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	r.record("%d flows are open at %s", len(flows), h.name)
	return flows
}

// requestOn sends one more request on each flow, all at once, and records how they end.
func (r *rig) requestOn(flows []*clientFlow) {
	var group sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for _, f := range flows {
		group.Go(func() {
			end := f.request()
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
	}
	group.Wait()
	r.record("the requests on open flows ended: %v", ends)
}
