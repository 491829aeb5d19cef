package knowledge

import (
	"bytes"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/compress"
	"cardamompoint.example/cardamompoint/platform"
)

// applyConfiguration applies the configuration of an update, if it has one. It reports whether that
// changed anything. The caller holds the lock.
func (t *Tracker) applyConfiguration(update *Update) bool {
	changed := false
	for _, item := range update.Items {
		if item.Key == platform.ConfigurationKey && !item.Deleted {
			changed = t.acceptConfiguration(item) || changed
		}
	}
	return changed
}

// acceptConfiguration puts a configuration into force if it is valid and its version is newer than
// the known one. Versions, other than revisions, never go back. It reports whether it did. The
// caller holds the lock.
func (t *Tracker) acceptConfiguration(item platform.Item) bool {
	if item.Position() == t.configurationItem.Position() {
		return false
	}
	configuration, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		klog.ErrorS(err, "config: ignored an invalid configuration", "revision", item.Revision, "era", item.Era)
		return false
	}
	if t.configuration != nil && configuration.Version <= t.configuration.Version {
		t.logOldConfiguration(configuration.Version, item)
		return false
	}
	t.configuration = configuration
	t.configurationItem, t.compressedConfiguration = item, nil
	t.entries.recordPosition(item.Position())
	klog.InfoS("config: configuration applied", "version", configuration.Version, "revision", item.Revision, "era", item.Era, "routes", len(configuration.Routes))
	return true
}

// logOldConfiguration logs a configuration that a restored copy has and that is older than the one in
// force.
func (t *Tracker) logOldConfiguration(version int64, item platform.Item) {
	if version < t.configuration.Version {
		klog.InfoS("config: ignored an older configuration", "version", version, "revision", item.Revision, "era", item.Era, "in_force", t.configuration.Version)
	}
}

// version returns the version of the configuration, 0 if there is none. The caller holds the lock.
func (t *Tracker) version() int64 {
	if t.configuration == nil {
		return 0
	}
	return t.configuration.Version
}

// compressConfiguration returns the compressed configuration, nil if there was an error. It
// keeps the result since many VMs request the same large configuration at once. The caller
// holds the lock.
func (t *Tracker) compressConfiguration() []byte {
	if t.compressedConfiguration != nil {
		return t.compressedConfiguration
	}
	var buffer bytes.Buffer
	if err := compress.Write(&buffer, t.configurationItem.Value); err != nil {
		klog.ErrorS(err, "config: compressing the configuration failed")
		return nil
	}
	t.compressedConfiguration = buffer.Bytes()
	return t.compressedConfiguration
}
