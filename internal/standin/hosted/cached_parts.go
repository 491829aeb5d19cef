package hosted

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// cachedPartsPath is where an engine lists the prompt parts in its KV cache.
const cachedPartsPath = "/-/kv-list"

// recordParts adds the parts of a prompt to the cache. The caller must hold w.mu.
func (w *Worker) recordParts(prefix string) {
	for _, entry := range strings.Split(prefix, ",") {
		id, size, found := strings.Cut(strings.TrimSpace(entry), ":")
		if tokens, err := strconv.Atoi(size); found && err == nil {
			w.parts[id] = tokens
		}
	}
}

// serveCachedParts responds with the list of cached parts.
func (w *Worker) serveCachedParts(out http.ResponseWriter) {
	w.mu.Lock()
	held := make([][]any, 0, len(w.parts))
	for id, tokens := range w.parts {
		held = append(held, []any{"", id, tokens, "m"})
	}
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"epoch": 1, "next": 1, "held": held})
}
