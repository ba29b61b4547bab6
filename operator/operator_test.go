package operator_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"amaranthwheel.example/amaranthwheel/operator"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
)

// TestFindings checks the findings about invalid builder calls. The golden file
// holds line numbers of this function, so adding or removing lines changes it.
func TestFindings(t *testing.T) {
	c := operator.New()
	north := c.Region("om-north")
	a := north.Domain("om-north-a")
	north.Domain("om-north-a")
	c.Region("No Region").Domain("om-north-b")
	foreign := operator.New().Region("om-north").Domain("om-north-z")

	c.Service("empty")
	c.Service("lease-desk").
		Requests().
		Flows().
		Address("lease.example:4433").
		Domains(a, foreign, nil).
		Targets("lease-desk-[").
		MaxSlots(0).
		MaxConnections(-5).
		IdleTimeout(time.Millisecond).
		RequestTimeout(2 * time.Hour)
	c.Service("first").Requests().Address("127.0.0.1:4433").Domains(a).
		Targets("first-*").MaxSlots(1).MaxConnections(1)
	c.Service("second").Requests().Address("127.0.0.2:4433").Domains().
		Targets().MaxSlots(1).MaxConnections(1)

	var stdout, stderr bytes.Buffer
	if code := c.Run(&stdout, &stderr); code != operator.ExitBadInput {
		t.Errorf("exit code %d", code)
	}
	if stdout.Len() > 0 {
		t.Errorf("printed a configuration that has findings:\n%s", stdout.String())
	}
	goldie.New(t).Assert(t, "findings", stderr.Bytes())
}

func TestPrintIsDeterministicAndParses(t *testing.T) {
	printConfiguration := func(reverse bool) []byte {
		c := operator.New("Header.", "", "Tricky: \x07 bell.")
		b := c.Region("om-north").Domain("om-north-b").Comment("two\nlines")
		a := c.Region("om-north").Domain("om-north-a")
		names := []string{"one", "two"}
		addresses := map[string]string{"one": "127.0.0.1:1001", "two": "127.0.0.1:1002"}
		if reverse {
			names = []string{"two", "one"}
		}
		for _, name := range names {
			c.Service(name).Flows().Address(addresses[name]).Domains(b, a).
				Targets(name+"-*", `odd"\`+"\\pattern").MaxSlots(3).MaxConnections(4)
		}
		text, err := c.Print()
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	text := printConfiguration(false)
	if !bytes.Equal(text, printConfiguration(true)) {
		t.Error("the output depends on the order of declaration")
	}
	file, err := declaration.Parse("print.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	if got := declaration.Print(file); !bytes.Contains(got, []byte(`targets = ["two-*", "odd\"\\\\pattern"]`)) {
		t.Errorf("the target patterns changed after parsing and printing again:\n%s", got)
	}
}
