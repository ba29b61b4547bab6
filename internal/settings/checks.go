package settings

import (
	"crypto/tls"
	"net/netip"
)

// listener is an address that the daemon listens on, with the key that sets it.
type listener struct {
	key  string
	addr netip.AddrPort
}

// checkAddressConflicts reports listeners that share an address. They must use
// the same protocol: UDP and TCP listeners may share a port number.
func checkAddressConflicts(p *parseState, listeners []listener) {
	seen := make(map[netip.AddrPort]string)
	for _, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		if other, ok := seen[l.addr]; ok {
			p.reportf(l.key, "clashes with %s: both are %s", other, l.addr)
			continue
		}
		seen[l.addr] = l.key
	}
}

// checkKeyPair reports a certificate that cannot be loaded or does not match the
// private key.
func checkKeyPair(p *parseState, a *Agent) {
	if a.Certificate == "" || a.PrivateKey == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(a.Certificate, a.PrivateKey); err != nil {
		p.reportf("certificate", "cannot be used with private_key: %v", err)
	}
}
