// Command capacity measures what flows, targets and messages cost and rewrites
// the page docs/CAPACITY.md. It runs at the root of the repository.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"

	"amaranthwheel.example/amaranthwheel/standin/capacity"
)

func main() {
	out := flag.String("out", "docs/CAPACITY.md", "file to write")
	flag.Parse()
	if err := run(*out); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run measures and writes the page only if everything was measured.
func run(out string) error {
	machine := capacity.ThisMachine()
	slopes, err := capacity.Measure(capacity.Letter1())
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := capacity.Render(&page, capacity.NewEstimate(slopes), machine); err != nil {
		return err
	}
	return os.WriteFile(out, page.Bytes(), 0o644)
}
