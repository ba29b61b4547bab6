package ctl

import (
	"bytes"
	"errors"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/urfave/cli/v3"

	"amaranthwheel.example/amaranthwheel/operator/findings"
)

// The keys of the client settings file.
const (
	keyCluster   = "cluster"
	keyStore     = "store"
	keyBalancers = "balancers"
	keyTimeout   = "timeout"
	keyAuthor    = "author"
)

// clientFile is the client settings file, which replaces flags.
type clientFile struct {
	Cluster   string   `toml:"cluster"`
	Store     []string `toml:"store"`
	Balancers []string `toml:"balancers"`
	// Timeout is a duration with its unit.
	Timeout string `toml:"timeout"`
	Author  string `toml:"author"`

	path string
	data []byte
}

// readClientFile reads the file, or returns an empty one if the path is empty.
// It adds errors to the findings.
func readClientFile(path string, found *findings.List) clientFile {
	file := clientFile{path: path}
	if path == "" {
		return file
	}
	data, err := os.ReadFile(path)
	if err != nil {
		found.Addf(findings.Place{File: path}, "%s", unwrapPathError(err))
		return file
	}
	file.data = data
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		file.addDecodeFindings(err, found)
	}
	return file
}

// addDecodeFindings adds the findings of a decoding error.
func (f *clientFile) addDecodeFindings(err error, found *findings.List) {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for i := range unknown.Errors {
			found.Addf(f.decodeErrorPlace(&unknown.Errors[i]), "unknown key")
		}
		return
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		found.Addf(f.decodeErrorPlace(decode), "%s", strings.TrimPrefix(decode.Error(), "toml: "))
		return
	}
	found.Addf(findings.Place{File: f.path}, "%s", err)
}

func (f *clientFile) decodeErrorPlace(err *toml.DecodeError) findings.Place {
	line, _ := err.Position()
	return findings.Place{File: f.path, Line: line, Key: strings.Join(err.Key(), ".")}
}

// parseTimeout returns the timeout of the flag or else that of the file.
func (f *clientFile) parseTimeout(cmd *cli.Command, found *findings.List) time.Duration {
	timeout := cmd.Duration(flagTimeout)
	place := f.settingPlace(cmd, flagTimeout, keyTimeout)
	if !cmd.IsSet(flagTimeout) && f.Timeout != "" {
		parsed, err := time.ParseDuration(f.Timeout)
		if err != nil {
			found.Addf(place, `%q is not a duration; write a number with a unit, such as "10s"`, f.Timeout)
			return timeout
		}
		timeout = parsed
	}
	if timeout <= 0 {
		found.Addf(place, "%s is out of range; want more than 0s", timeout)
	}
	return timeout
}

// settingPlace returns the place of a setting in findings: the flag if it is
// set, else the key in the file if there is a file.
func (f *clientFile) settingPlace(cmd *cli.Command, flag, key string) findings.Place {
	if cmd.IsSet(flag) || f.path == "" {
		return flagPlace(flag)
	}
	return findings.Place{File: f.path, Line: f.keyLine(key), Key: key}
}

// keyLine returns the line number of a top-level key, or 0 if it is absent.
func (f *clientFile) keyLine(key string) int {
	match := regexp.MustCompile(`(?m)^\s*` + key + `\s*=`).FindIndex(f.data)
	if match == nil {
		return 0
	}
	return 1 + bytes.Count(f.data[:match[1]], []byte("\n"))
}
