package settings

import (
	"fmt"
	"strings"
)

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

func secretsField(dst *[][]byte) field {
	const name = "secrets"
	key := Key{
		Name: name, Type: "list of strings", Default: "none", Range: fmt.Sprintf("at least %d bytes each", minSecretBytes),
		Description: "Shared secrets that authenticate nodes to each other: the first one signs, all verify. Several allow rotation without downtime. Either this or secret_file is required.",
	}
	return field{key, func(p *parseState, value any) {
		items, ok := asStrings(p, name, value, true)
		if !ok {
			return
		}
		for i, s := range items {
			if len(s) < minSecretBytes {
				p.reportf(elementKey(name, i), "is %d bytes long: expected at least %d", len(s), minSecretBytes)
			}
			*dst = append(*dst, []byte(s))
		}
	}}
}

func secretFileField(dst *string) field {
	f := pathField("secret_file", "File with the secrets, one per line, instead of secrets.", false, dst)
	f.Default = "none"
	return f
}

// checkSecrets reads the secret file, if one is given, and reports missing or
// invalid secrets and secrets from both sources.
func checkSecrets(p *parseState, c *Common, file string) {
	switch {
	case p.present["secrets"] && file != "":
		p.reportf("secret_file", "clashes with secrets: give only one of them")
	case file != "":
		c.Secrets = readSecretFile(p, file)
	case !p.present["secrets"]:
		p.reportf("secrets", "is missing; expected a list of strings, or secret_file")
	}
}

func readSecretFile(p *parseState, file string) [][]byte {
	data, err := readBounded(file)
	if err != nil {
		p.reportf("secret_file", "cannot be read: %v", err)
		return nil
	}
	var secrets [][]byte
	for i, line := range strings.Split(strings.TrimRight(string(data), "\r\n"), "\n") {
		secret := strings.TrimSpace(line)
		if len(secret) < minSecretBytes {
			p.reportf("secret_file", "line %d is %d bytes long: expected at least %d", i+1, len(secret), minSecretBytes)
		}
		secrets = append(secrets, []byte(secret))
	}
	return secrets
}
