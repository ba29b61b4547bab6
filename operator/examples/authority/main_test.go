package main

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"

	"amaranthwheel.example/amaranthwheel/operator"
	"amaranthwheel.example/amaranthwheel/operator/declaration"
)

func TestPrint(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := newConfiguration().Run(&stdout, &stderr); code != operator.ExitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	if _, err := declaration.Parse("authority.toml", stdout.Bytes()); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithNameSuffix(".toml")).Assert(t, "authority", stdout.Bytes())
}
