// Package direct implements the daemons for direct server return. It passes
// datagrams, ticks and changes in the store as events to package steering, and
// performs the effects that steering returns.
package direct
