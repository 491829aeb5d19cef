// Package published validates a directory of documents before they are published.
package published

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/source"
	"cardamompoint.example/cardamompoint/router/template"
)

// Problem is an error found in a file.
type Problem struct {
	// File is the path of the file relative to the directory.
	File string
	// Error is the error with its code and JSON path.
	Error *code.Error
}

// Check validates the files below dir and returns the problems found. The error is not nil if the
// directory can't be read.
func Check(dir string) ([]Problem, error) {
	var faults []Problem
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".json" {
			return err
		}
		relative, err := filepath.Rel(dir, path)
		if err != nil {
			return eris.Wrap(err, path)
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, path)
		}
		if fault := checkFile(dir, filepath.ToSlash(relative), raw); fault != nil {
			faults = append(faults, Problem{File: relative, Error: code.Of(fault)})
		}
		return nil
	})
	return faults, err
}

func checkFile(dir, relative string, raw []byte) error {
	key := strings.TrimSuffix(relative, ".json")
	if key == "vms" {
		return checkVMs(raw)
	}
	kind, name := config.SplitKey(key)
	switch kind {
	case config.KindTemplate:
		_, err := template.Compile(name, raw, nil)
		return err
	case config.KindParameters:
		published, err := os.ReadFile(filepath.Join(dir, config.TemplateKey(name)+".json"))
		if err != nil {
			return code.New(code.InvalidDocument, "the workspace has no template").At("$")
		}
		_, err = template.Compile(name, published, raw)
		return err
	case config.KindModel:
		_, err := config.ParseModel(name, 0, raw)
		return err
	}
	return code.New(code.InvalidDocument, "the key %q is not known", key)
}

func checkVMs(raw []byte) error {
	var vms []source.VM
	if err := json.Unmarshal(raw, &vms); err != nil {
		return code.Wrap(err, code.InvalidDocument, "the list can't be decoded").At("$")
	}
	seen := map[string]bool{}
	for _, vm := range vms {
		if err := vm.Check(); err != nil {
			return err
		}
		if seen[vm.Address] {
			return code.New(code.InvalidDocument, "%q is listed twice", vm.Address).At("$.address")
		}
		seen[vm.Address] = true
	}
	return nil
}
