package examples

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
)

// addressPrefixes are the first two numbers of the IP addresses in each
// deployment's files.
var addressPrefixes = map[string]string{"gelek": "127.1", "urverk": "127.2"}

// Unpack writes a deployment's files below dir, with the first two numbers of all
// IP addresses replaced by prefix.
func Unpack(dir, deployment, prefix string) error {
	if !slices.Contains(Deployments, deployment) {
		return eris.Errorf("unknown deployment %q", deployment)
	}
	sub, err := fs.Sub(Files, deployment)
	if err != nil {
		return eris.Wrap(err, deployment)
	}
	old, moved := []byte(`"`+addressPrefixes[deployment]+"."), []byte(`"`+prefix+".")
	return fs.WalkDir(sub, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		raw, err := fs.ReadFile(sub, path)
		if err != nil {
			return eris.Wrap(err, path)
		}
		return writeFile(filepath.Join(dir, path), bytes.ReplaceAll(raw, old, moved))
	})
}

// writeFile writes a file and creates its folder if needed.
func writeFile(path string, raw []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return eris.Wrap(err, path)
	}
	return eris.Wrap(os.WriteFile(path, raw, 0o644), path)
}
