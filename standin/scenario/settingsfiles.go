package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// clusterSecret is the shared secret of the nodes of a deployment.
const clusterSecret = "scenario cluster secret"

// Timeouts of planned stops.
const (
	balancerStopTimeout = "3s"
	agentStopTimeout    = "20s"
)

// certDir is the directory of the certificate that agents present.
const certDir = "certs"

// nodeSettings returns the settings common to balancers and agents as TOML.
func (d *deployment) nodeSettings(name, domain string, hostByte int, stopTimeout string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\ndomain = %q\ncluster = %q\n", name, domain, d.layout.cluster)
	fmt.Fprintf(&b, "secrets = [%q]\n", clusterSecret)
	fmt.Fprintf(&b, "data = %q\n", d.network.hostPort(hostByte, dataPort))
	fmt.Fprintf(&b, "control = %q\n", d.network.hostPort(hostByte, controlPort))
	fmt.Fprintf(&b, "admin = %q\n", d.network.hostPort(hostByte, adminPort))
	fmt.Fprintf(&b, "stop_timeout = %q\n", stopTimeout)
	var seeds []string
	for n := range d.layout.balancers {
		seeds = append(seeds, fmt.Sprintf("%q", d.network.hostPort(balancerHosts+n, controlPort)))
	}
	fmt.Fprintf(&b, "seeds = [%s]\n", strings.Join(seeds, ", "))
	return b.String()
}

// balancerSettings returns the settings of the nth balancer. storeAddr may be
// the address of a relay.
func (d *deployment) balancerSettings(n int, domain, storeAddr string) string {
	hostByte := balancerHosts + n
	return d.nodeSettings(balancerName(n), domain, hostByte, balancerStopTimeout) +
		fmt.Sprintf("bind = %q\n\n[store]\nendpoints = [%q]\n", d.network.hostAddr(hostByte), "http://"+storeAddr)
}

// agentSettings returns the settings of the agent of an endpoint.
func (d *deployment) agentSettings(e *endpoint) string {
	return d.nodeSettings(agentName(e.name), e.domain, e.host, agentStopTimeout) +
		fmt.Sprintf("announce = %q\n", d.network.hostPort(e.host, announcePort)) +
		fmt.Sprintf("certificate = %q\nprivate_key = %q\n", certDir+"/cert.pem", certDir+"/key.pem")
}

// writeSettings writes a node's settings file and returns its path.
func (d *deployment) writeSettings(work, name, content string) (string, error) {
	path := filepath.Join(work, name+".toml")
	return path, os.WriteFile(path, []byte(content), 0o644)
}
