// Command amaranthwheel runs the daemons: a balancer on an entry host, or an
// agent beside a target.
package main

func main() {}
