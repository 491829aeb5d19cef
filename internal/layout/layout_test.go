package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const (
	module = "cardamompoint.example/cardamompoint/"
	root   = "../.."
)

// TestProductsAreApart reads the imports of each file: nothing below gateway uses anything
// below router, nor the other way round.
func TestProductsAreApart(t *testing.T) {
	for folder, other := range map[string]string{"gateway": "router", "router": "gateway"} {
		files := 0
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" {
				return err
			}
			files++
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, imported := range parsed.Imports {
				name := strings.Trim(imported.Path.Value, `"`)
				if name == module+other || strings.HasPrefix(name, module+other+"/") {
					t.Errorf("%s uses %s", path, name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if files == 0 {
			t.Errorf("%s has no files", folder)
		}
	}
}
