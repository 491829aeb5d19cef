package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// fieldPaths returns the JSON paths of all fields of a settings struct.
func fieldPaths(typ reflect.Type, prefix string) []string {
	var paths []string
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		if name == "-" {
			continue
		}
		if typ.Field(i).Type.Kind() == reflect.Struct {
			paths = append(paths, fieldPaths(typ.Field(i).Type, prefix+name+".")...)
			continue
		}
		paths = append(paths, prefix+name)
	}
	return paths
}

// TestEachFieldIsInTheDocs checks that the settings page documents every field.
func TestEachFieldIsInTheDocs(t *testing.T) {
	raw, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range fieldPaths(reflect.TypeFor[Router](), "") {
		if !strings.Contains(string(raw), "| `"+path+"` |") {
			t.Errorf("docs/SETTINGS.md lacks %s", path)
		}
	}
}
