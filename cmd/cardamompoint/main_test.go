package main

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cardamompoint": func() { os.Exit(run(context.Background(), os.Args)) },
	})
}
