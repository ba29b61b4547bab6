package scenario

import (
	"fmt"
	"os/exec"
)

// programs are the import paths of the programs that scripts run.
var programs = []string{
	"amaranthwheel.example/amaranthwheel/cmd/amaranthwheel",
	"amaranthwheel.example/amaranthwheel/cmd/amaranthctl",
	"amaranthwheel.example/amaranthwheel/standin/cmd/standin",
	"amaranthwheel.example/amaranthwheel/operator/examples/authority",
	"amaranthwheel.example/amaranthwheel/operator/examples/vatukoula",
}

// Build builds the programs into a directory.
func Build(dir string) error {
	args := append([]string{"build", "-o", dir + "/"}, programs...)
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return nil
}
