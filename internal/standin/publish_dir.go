package standin

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/router/source"
)

// PublishDir publishes every JSON file below dir under its path without the extension as the
// key, and vms.json as the list of VMs.
func (p *Platform) PublishDir(dir string) error {
	return filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".json" {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, path)
		}
		relative, err := filepath.Rel(dir, path)
		if err != nil {
			return eris.Wrap(err, path)
		}
		key := strings.TrimSuffix(filepath.ToSlash(relative), ".json")
		if key != "vms" {
			_, err := p.Publish(key, raw, -1)
			return err
		}
		var vms []source.VM
		if err := json.Unmarshal(raw, &vms); err != nil {
			return eris.Wrap(err, path)
		}
		p.SetVMs(vms)
		return nil
	})
}
