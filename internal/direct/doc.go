// Package direct implements the daemons for direct server return: it feeds the
// decisions of package steering from sockets and the store, and carries them
// out.
package direct
