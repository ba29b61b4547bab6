package ctl

import (
	"cmp"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// settings are the client settings of one run. Flags and environment take
// precedence over the client settings file, and that over the defaults.
type settings struct {
	cluster   string
	endpoints []string
	balancers []netip.AddrPort
	timeout   time.Duration
	author    string
	format    outputFormat
}

// readSettings merges flags, environment and the client settings file. It
// returns a *findings.Error with all errors.
func readSettings(cmd *cli.Command) (*settings, error) {
	var found findings.List
	file := readClientFile(cmd.String(flagConfig), &found)
	s := &settings{
		cluster: flagOrFile(cmd, flagCluster, cmd.String(flagCluster), file.Cluster),
		author:  cmp.Or(flagOrFile(cmd, flagAuthor, cmd.String(flagAuthor), file.Author), os.Getenv("USER")),
		timeout: file.parseTimeout(cmd, &found),
		format:  outputFormat(cmd.String(flagOutput)),
	}
	if !s.format.isValid() {
		found.Addf(flagPlace(flagOutput), "%q is not a format; want %q or %q", s.format, formatTable, formatJSON)
	}
	if strings.ContainsAny(s.cluster, "/ \t\n") {
		found.Addf(file.settingPlace(cmd, flagCluster, keyCluster), "%q is not a cluster's name; it has no slash or space", s.cluster)
	}
	s.readEndpoints(cmd, file, &found)
	s.readBalancers(cmd, file, &found)
	return s, found.Err()
}

// flagOrFile returns the value of the flag if it is set by the command line or
// the environment, else that of the file.
func flagOrFile[T any](cmd *cli.Command, flag string, fromFlag, fromFile T) T {
	if cmd.IsSet(flag) {
		return fromFlag
	}
	return fromFile
}

// readEndpoints reads the gateways of the store. "IP:port" is short for
// "http://IP:port".
func (s *settings) readEndpoints(cmd *cli.Command, file clientFile, found *findings.List) {
	place := file.settingPlace(cmd, flagStore, keyStore)
	for _, text := range flagOrFile(cmd, flagStore, cmd.StringSlice(flagStore), file.Store) {
		endpoint := text
		if !strings.Contains(text, "://") {
			endpoint = "http://" + text
		}
		if !isValidEndpoint(endpoint) {
			found.Addf(place, "%q is not a store gateway; write http://IP:port", text)
			continue
		}
		s.endpoints = append(s.endpoints, endpoint)
	}
}

func isValidEndpoint(endpoint string) bool {
	u, err := url.Parse(endpoint)
	if err != nil || endpoint != "http://"+u.Host {
		return false
	}
	addr, err := netip.ParseAddrPort(u.Host)
	return err == nil && addr.Port() != 0
}

// readBalancers reads the admin addresses of the balancers.
func (s *settings) readBalancers(cmd *cli.Command, file clientFile, found *findings.List) {
	place := file.settingPlace(cmd, flagBalancer, keyBalancers)
	for _, text := range flagOrFile(cmd, flagBalancer, cmd.StringSlice(flagBalancer), file.Balancers) {
		addr, err := netip.ParseAddrPort(text)
		if err != nil || addr.Port() == 0 {
			found.Addf(place, "%q is not an admin address; write IP:port", text)
			continue
		}
		s.balancers = append(s.balancers, addr)
	}
}

// requireStore returns an error unless the settings name a store and a cluster.
func (s *settings) requireStore() error {
	var found findings.List
	if len(s.endpoints) == 0 {
		found.Addf(flagPlace(flagStore), "name a store gateway by flag, AMARANTH_STORE or the client settings file")
	}
	if s.cluster == "" {
		found.Addf(flagPlace(flagCluster), "name the cluster by flag, AMARANTH_CLUSTER or the client settings file")
	}
	return found.Err()
}

// requireBalancers returns an error unless the settings name a balancer.
func (s *settings) requireBalancers() error {
	if len(s.balancers) > 0 {
		return nil
	}
	var found findings.List
	found.Addf(flagPlace(flagBalancer), "name a balancer's admin address by flag, AMARANTH_BALANCERS or the client settings file")
	return found.Err()
}

// flagPlace returns the place of a flag in findings.
func flagPlace(flag string) findings.Place {
	return findings.Place{Key: "--" + flag}
}
