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

// TestProductsAreApart checks that no package below gateway imports a package below router,
// and vice versa.
func TestProductsAreApart(t *testing.T) {
	for folder, forbidden := range map[string]string{"gateway": "router", "router": "gateway"} {
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
				if name == module+forbidden || strings.HasPrefix(name, module+forbidden+"/") {
					t.Errorf("%s imports %s", path, name)
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
