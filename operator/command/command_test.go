package command_test

import (
	"context"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/operator/command"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/control"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/process/settings"
	"github.com/amaranthramp/amaranthramp/standin/store"
	"github.com/amaranthramp/amaranthramp/version/archive"
)

// update makes the tests rewrite their expected output: go test ./operator/command -update.
var update = flag.Bool("update", false, "rewrite the expected output of the test scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"amaranthramp": func() { os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts of testdata/cases against the command line.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/cases",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			return startControls(e)
		},
	})
}

// startControls starts three control processes without an entry process and puts their URLs in the environment: one
// whose platform stores the configuration of the first example, one with an empty platform, and one with a key.
func startControls(e *testscript.Env) error {
	local := store.NewLocal(store.New())
	example := filepath.Join(e.Getenv("EXAMPLES"), "cepage")
	b, err := os.ReadFile(filepath.Join(example, "configuration.toml"))
	if err != nil {
		return err
	}
	if err := archive.Seed(context.Background(), local, "configuration.toml", b); err != nil {
		return err
	}
	s, err := settings.Load(filepath.Join(example, "vm.toml"))
	if err != nil {
		return err
	}
	for name, p := range map[string]platform.Store{
		"AMARANTHRAMP_CONTROL": local, "EMPTY": store.NewLocal(store.New()), "KEYED": store.NewLocal(store.New()),
	} {
		s := *s
		if name == "KEYED" {
			s.Key = "a key of sixteen"
		}
		h := httptest.NewServer(control.New(&s, "1", p, clock.NewFake(), zerolog.Nop()).Handler())
		e.Defer(h.Close)
		e.Setenv(name, h.URL)
	}
	return nil
}
