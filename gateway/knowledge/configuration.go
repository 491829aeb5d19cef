package knowledge

import (
	"bytes"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/compress"
	"cardamompoint.example/cardamompoint/platform"
)

// configuration holds the configuration in force. The zero value holds none. It is not safe for
// concurrent use.
type configuration struct {
	// decoded is the decoded item, nil if there is none.
	decoded *traffic.Configuration
	item    platform.Item
	// compressed is the compressed value of item, nil until it is needed.
	compressed []byte
}

// version returns the version of the configuration, 0 if there is none.
func (c *configuration) version() int64 {
	if c.decoded == nil {
		return 0
	}
	return c.decoded.Version
}

// accept puts an item into force if it is valid and its version is newer than the known one.
// Versions, other than revisions, never go back. It reports whether it did.
func (c *configuration) accept(item platform.Item) bool {
	if item.Position() == c.item.Position() {
		return false
	}
	decoded, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		klog.ErrorS(err, "config: ignored an invalid configuration", "revision", item.Revision, "era", item.Era)
		return false
	}
	if c.decoded != nil && decoded.Version <= c.decoded.Version {
		c.logOld(decoded.Version, item)
		return false
	}
	*c = configuration{decoded: decoded, item: item}
	klog.InfoS("config: configuration applied", "version", decoded.Version, "revision", item.Revision, "era", item.Era, "routes", len(decoded.Routes))
	return true
}

// logOld logs a configuration of a restored copy that is older than the one in force.
func (c *configuration) logOld(version int64, item platform.Item) {
	if version < c.decoded.Version {
		klog.InfoS("config: ignored an older configuration", "version", version, "revision", item.Revision, "era", item.Era, "in_force", c.decoded.Version)
	}
}

// compress returns the compressed configuration, nil if there was an error. It keeps the result
// since many VMs request the same large configuration at once.
func (c *configuration) compress() []byte {
	if c.compressed != nil {
		return c.compressed
	}
	var buffer bytes.Buffer
	if err := compress.Write(&buffer, c.item.Value); err != nil {
		klog.ErrorS(err, "config: compressing the configuration failed")
		return nil
	}
	c.compressed = buffer.Bytes()
	return c.compressed
}
