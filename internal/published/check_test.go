package published

import (
	"os"
	"path/filepath"
	"testing"
)

// TestUnusableVMIsFoundBeforePublication guards against lists with VMs that routers would ignore.
func TestUnusableVMIsFoundBeforePublication(t *testing.T) {
	for entry, want := range map[string]int{
		`{"address":"10.0.0.1:80","role":"engine","state":"live"}`:                    0,
		`{"address":"10.0.0.1:0","role":"engine","state":"live"}`:                     1,
		`{"address":"10.0.0.1:99999","role":"engine","state":"live"}`:                 1,
		`{"address":"10.0.0.1:80","role":"engine","state":"asleep"}`:                  1,
		`{"address":"10.0.0.1:80","role":"engines","state":"live"}`:                   1,
		`{"address":"10.0.0.1:80","role":"engine","state":"live","capacity":1000001}`: 1,
		`{"address":"10.0.0.1:80","role":"engine","state":"live","capacity":1e400}`:   1,
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "vms.json"), []byte("["+entry+"]"), 0o644); err != nil {
			t.Fatal(err)
		}
		problems, err := Check(dir)
		if err != nil || len(problems) != want {
			t.Errorf("%s: %+v, %v, want %d problems", entry, problems, err, want)
		}
	}
}
