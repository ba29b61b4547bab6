package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

const validBalancer = `
node = "entry-1"
domain = "om-north-a"
cluster = "authority"
secrets = ["0123456789abcdef", "fedcba9876543210"]
data = "127.0.0.1:7000"
control = "127.0.0.1:7000"
admin = "127.0.0.1:7002"
seeds = ["127.0.0.1:7100"]
stop_timeout = "1m"

[store]
endpoints = ["http://127.0.0.1:2379"]
max_response = "64KB"
`

const validAgent = `
node = "target-1"
domain = "om-north-a"
cluster = "authority"
secret_file = "secret"
data = "127.0.0.1:7000"
control = "127.0.0.1:7001"
admin = "127.0.0.1:7002"
seeds = ["127.0.0.1:7100"]
announce = "127.0.0.1:7003"
certificate = "cert.pem"
private_key = "key.pem"
`

// writeFile writes a file into the directory and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// writeKeyPair writes a self-signed certificate and its key into the directory.
func writeKeyPair(t *testing.T, dir string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, dir, "cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})))
	writeFile(t, dir, "key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})))
}

func TestLoadBalancer(t *testing.T) {
	b, err := LoadBalancer(writeFile(t, t.TempDir(), "b.toml", validBalancer))
	if err != nil {
		t.Fatal(err)
	}
	if b.Node != "entry-1" || b.Domain != "om-north-a" || b.Cluster != "authority" {
		t.Errorf("names: %+v", b.Common)
	}
	if len(b.Secrets) != 2 || string(b.Secrets[0]) != "0123456789abcdef" {
		t.Errorf("secrets: %q", b.Secrets)
	}
	if b.Seeds[0] != netip.MustParseAddrPort("127.0.0.1:7100") || b.Bind.IsValid() {
		t.Errorf("addresses: %+v", b)
	}
	if b.StopTimeout != time.Minute || b.Store.Timeout != defaultStoreTimeout || b.Store.MaxResponse != 64*kilobyte {
		t.Errorf("durations and sizes: %+v", b)
	}
	if b.LogLevel != "info" || b.TraceFile != "" {
		t.Errorf("defaults: %+v", b)
	}
}

func TestLoadAgent(t *testing.T) {
	dir := t.TempDir()
	writeKeyPair(t, dir)
	writeFile(t, dir, "secret", "0123456789abcdef\nfedcba9876543210\n")
	a, err := LoadAgent(writeFile(t, dir, "a.toml", validAgent))
	if err != nil {
		t.Fatal(err)
	}
	if a.Certificate != filepath.Join(dir, "cert.pem") || len(a.Secrets) != 2 {
		t.Errorf("files: %+v", a)
	}
}

const validDirectAgent = `
node = "target-1"
domain = "om-north-a"
segments = "127.0.0.1:7000"
peer = "127.0.0.1:7001"
ready = "127.0.0.1:7002"
metrics = "127.0.0.1:7003"
outbound = "127.0.0.1:7004"
announce = "127.0.0.1:7005"
target = "127.0.0.1:7006"
service = "feed"
`

// Pacing is on unless operators switch it off; a string such as "false" must not pass for a
// boolean.
func TestPaceOfDirectAgent(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		text string
		want bool
	}{{"", true}, {"pace = true\n", true}, {"pace = false\n", false}} {
		a, err := LoadDirectAgent(writeFile(t, dir, "a.toml", validDirectAgent+c.text+"[store]\naddress = \"127.0.0.1:7100\"\n"))
		if err != nil {
			t.Fatal(err)
		}
		if a.Pace != c.want {
			t.Errorf("%q: pace %v", c.text, a.Pace)
		}
	}
	_, err := LoadDirectAgent(writeFile(t, dir, "a.toml", validDirectAgent+"pace = \"false\"\n[store]\naddress = \"127.0.0.1:7100\"\n"))
	if err == nil || !strings.Contains(err.Error(), "pace: must be a boolean, not a string") {
		t.Errorf("a string: %v", err)
	}
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	const bad = `node = "entry 1"
domain = 7
cluster = "authority"
secrets = ["short", "0123456789abcdef", "0123456789abcdef"]
data = "0.0.0.0:7000"
control = "127.0.0.1:7001"
admin = "127.0.0.1:7001"
seeds = ["localhost:7100"]
stop_timeout = 30
log_level = "loud"
bind = "here"
announce = "127.0.0.1:1"

[store]
endpoints = ["https://127.0.0.1:2379", "http://127.0.0.1:0"]
timeout = "1ms"
max_response = "64"
colour = "red"

[[extra]]
"x.y" = 1

["store.timeout"]
`
	want := []string{
		`1: node: "entry 1" is not a valid name: expected ` + nameRange,
		`2: domain: must be a string, not an integer`,
		`4: secrets[2]: stands twice in the list`,
		`4: secrets[0]: is 5 bytes long: expected at least 16`,
		`5: data: 0.0.0.0:7000 is out of range: expected ` + addressRange,
		`7: admin: clashes with control: both are 127.0.0.1:7001`,
		`8: seeds[0]: "localhost:7100" is not an address of the form ip:port`,
		`9: stop_timeout: must be a string with a unit, such as "5s", not an integer`,
		`10: log_level: "loud" is not one of debug, info, warn, error`,
		`11: bind: "here" is not an IP number`,
		`12: announce: unknown key`,
		`15: store.endpoints[0]: "https://127.0.0.1:2379" is not an endpoint of the form http://ip:port`,
		`15: store.endpoints[1]: "http://127.0.0.1:0" is not an endpoint of the form http://ip:port`,
		`16: store.timeout: 1ms is out of range: expected 10ms to 1m`,
		`17: store.max_response: "64" is not a size with a unit, such as "64KB"`,
		`18: store.colour: unknown key`,
		`20: extra: unknown key`,
		`23: "store.timeout": unknown key`,
	}
	path := writeFile(t, t.TempDir(), "bad.toml", bad)
	_, err := LoadBalancer(path)
	checkFindings(t, err, path, want)
}

func TestMissingKeysAreReported(t *testing.T) {
	path := writeFile(t, t.TempDir(), "empty.toml", "")
	_, err := LoadAgent(path)
	var found *findings.Error
	if !errors.As(err, &found) {
		t.Fatalf("got %v", err)
	}
	missing := make(map[string]bool)
	for _, f := range found.Findings {
		missing[f.Place.Key] = true
	}
	for _, key := range []string{"node", "domain", "cluster", "secrets", "data", "control", "admin", "seeds", "announce", "certificate", "private_key"} {
		if !missing[key] {
			t.Errorf("%s is not reported in:\n%v", key, err)
		}
	}
}

func TestInvalidFiles(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "secret", "0123456789abcdef\n")
	writeFile(t, dir, "short", "0123456789abcdef\nshort\n")
	agentWith := func(old, text string) string { return strings.Replace(validAgent, old, text, 1) }
	cases := []struct{ name, text, want string }{
		{"syntax", "node = \n", "1: is not valid TOML"},
		{"duplicate key", "node = \"a\"\nnode = \"b\"\n", "2: node: is not valid TOML"},
		{"table expected", agentWith("announce", "store = 1\nannounce"), "10: store: unknown key"},
		{"certificate missing", validAgent, "11: certificate: cannot be used with private_key"},
		{"short secret", agentWith(`"secret"`, `"short"`), "5: secret_file: line 2 is 5 bytes long"},
		{"secret file missing", agentWith(`"secret"`, `"none"`), "5: secret_file: cannot be read"},
		{"both sources", agentWith("data", "secrets = [\"0123456789abcdef\"]\ndata"), "5: secret_file: clashes with secrets"},
		{"announce conflict", agentWith("7003", "7002"), "10: announce: clashes with admin"},
		{"file too large", strings.Repeat("#", maxFileBytes+1), "cannot be read: larger than 1048576 bytes"},
	}
	for _, c := range cases {
		_, err := LoadAgent(writeFile(t, dir, "a.toml", c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func checkFindings(t *testing.T, err error, path string, want []string) {
	t.Helper()
	var found *findings.Error
	if !errors.As(err, &found) {
		t.Fatalf("got %v", err)
	}
	got := strings.Split(err.Error(), "\n")
	for i, line := range want {
		if i >= len(got) || got[i] != path+":"+line {
			t.Fatalf("finding %d:\n got %s\nwant %s:%s", i, strings.Join(got, "\n     "), path, line)
		}
	}
	if len(got) != len(want) {
		t.Errorf("more findings than expected:\n%v", err)
	}
}
