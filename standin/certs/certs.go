// Package certs makes self-signed certificates for tests and the demo.
package certs

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"
)

// Names of the files that Write makes.
const (
	CertFile = "cert.pem"
	KeyFile  = "key.pem"
)

const (
	// validity is how long a certificate is valid.
	validity = 24 * time.Hour
	// clockSkew is by how much clocks may differ.
	clockSkew = time.Hour
	// serialBits is the size of serial numbers.
	serialBits = 127
)

// Write makes a self-signed certificate for the names, which may be IP
// addresses, and writes it with its key to the directory.
func Write(dir string, names []string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	template, err := newTemplate(names)
	if err != nil {
		return err
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return fmt.Errorf("create certificate: %w", err)
	}
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	if err := writePEM(filepath.Join(dir, CertFile), "CERTIFICATE", cert, 0o644); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, KeyFile), "PRIVATE KEY", keyBytes, 0o600)
}

func newTemplate(names []string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("draw serial number: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "amaranthwheel stand-in"},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:        true, BasicConstraintsValid: true,
	}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, name)
		}
	}
	return template, nil
}

func writePEM(path, kind string, content []byte, mode os.FileMode) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	if err := os.WriteFile(path, text, mode); err != nil {
		return fmt.Errorf("write %s: %w", kind, err)
	}
	return nil
}

// Command returns the subcommand that writes a certificate and its key.
func Command() *cli.Command {
	var dir string
	var names []string
	return &cli.Command{
		Name:  "certs",
		Usage: "write a self-signed certificate and its key",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "directory for " + CertFile + " and " + KeyFile, Required: true, Destination: &dir},
			&cli.StringSliceFlag{Name: "name", Usage: "name or IP address that it is for", Value: []string{"localhost", "127.0.0.1"}, Destination: &names},
		},
		Action: func(context.Context, *cli.Command) error { return Write(dir, names) },
	}
}
