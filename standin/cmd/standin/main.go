// Command standin runs the stand-ins that tests use in place of the platform:
// a store, targets and callers.
package main

func main() {}
