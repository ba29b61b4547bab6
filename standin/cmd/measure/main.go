// Command measure prints the comparison of ways to carry flows.
package main

import (
	"flag"
	"fmt"
	"os"

	"amaranthwheel.example/amaranthwheel/standin/measure"
)

func main() {
	seeds := flag.Int("seeds", 10, "seeds for each change and way")
	flag.Parse()
	if err := measure.Print(os.Stdout, measure.Placement(*seeds)); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
