package settings

import (
	"fmt"
	"strings"
)

// minSecretBytes is the least length of a secret, in bytes.
const minSecretBytes = 16

func secretsField(dst *[][]byte) field {
	const name = "secrets"
	key := Key{
		Name: name, Type: "list of strings", Default: "none", Range: fmt.Sprintf("at least %d bytes each", minSecretBytes),
		Description: "Authenticate nodes to each other: the first one signs, all verify. Several allow rotation without a stop. Either this or secret_file is required.",
	}
	return field{key, func(r *reading, value any) {
		items, ok := asStrings(r, name, value, true)
		if !ok {
			return
		}
		for i, s := range items {
			if len(s) < minSecretBytes {
				r.reportf(element(name, i), "is %d bytes long: expected at least %d", len(s), minSecretBytes)
			}
			*dst = append(*dst, []byte(s))
		}
	}}
}

func secretFileField(dst *string) field {
	f := pathField("secret_file", "File with the secrets, one a line, in place of secrets.", false, dst)
	f.Default = "none"
	return f
}

// checkSecrets reads the secret file, if one is named, and reports a missing,
// doubled or bad source of secrets.
func checkSecrets(r *reading, c *Common, file string) {
	switch {
	case r.present["secrets"] && file != "":
		r.reportf("secret_file", "clashes with secrets: give only one of them")
	case file != "":
		c.Secrets = readSecretFile(r, file)
	case !r.present["secrets"]:
		r.reportf("secrets", "is missing; expected a list of strings, or secret_file")
	}
}

func readSecretFile(r *reading, file string) [][]byte {
	data, err := readBounded(file)
	if err != nil {
		r.reportf("secret_file", "cannot be read: %v", err)
		return nil
	}
	var secrets [][]byte
	for i, line := range strings.Split(strings.TrimRight(string(data), "\r\n"), "\n") {
		secret := strings.TrimSpace(line)
		if len(secret) < minSecretBytes {
			r.reportf("secret_file", "line %d is %d bytes long: expected at least %d", i+1, len(secret), minSecretBytes)
		}
		secrets = append(secrets, []byte(secret))
	}
	return secrets
}
