package settings

import (
	"crypto/tls"
	"net/netip"
)

// listener is a TCP address that the daemon listens on.
type listener struct {
	key  string
	addr netip.AddrPort
}

// checkClashes reports listeners that share an address. Data is UDP and may
// share its port number with a TCP listener.
func checkClashes(r *reading, listeners []listener) {
	seen := make(map[netip.AddrPort]string)
	for _, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		if other, ok := seen[l.addr]; ok {
			r.reportf(l.key, "clashes with %s: both are %s", other, l.addr)
			continue
		}
		seen[l.addr] = l.key
	}
}

// checkKeyPair reports a certificate that cannot be loaded or does not belong
// to the private key.
func checkKeyPair(r *reading, a *Agent) {
	if a.Certificate == "" || a.PrivateKey == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(a.Certificate, a.PrivateKey); err != nil {
		r.reportf("certificate", "cannot be used with private_key: %v", err)
	}
}
