package examples

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
)

// prefixes are the first two numbers of the addresses in each folder.
var prefixes = map[string]string{"gelek": "127.1", "urverk": "127.2"}

// Unpack writes a deployment's files below dir with its addresses moved to the
// network with the given first two numbers.
func Unpack(dir, deployment, prefix string) error {
	if !slices.Contains(Deployments, deployment) {
		return eris.Errorf("there is no deployment %q", deployment)
	}
	sub, err := fs.Sub(Files, deployment)
	if err != nil {
		return eris.Wrap(err, deployment)
	}
	old, moved := []byte(`"`+prefixes[deployment]+"."), []byte(`"`+prefix+".")
	return fs.WalkDir(sub, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		raw, err := fs.ReadFile(sub, path)
		if err != nil {
			return eris.Wrap(err, path)
		}
		return write(filepath.Join(dir, path), bytes.ReplaceAll(raw, old, moved))
	})
}

func write(path string, raw []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return eris.Wrap(err, path)
	}
	return eris.Wrap(os.WriteFile(path, raw, 0o644), path)
}
