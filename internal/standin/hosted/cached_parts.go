package hosted

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// cachedPartsPath is where a worker lists the prompt parts that it holds.
const cachedPartsPath = "/-/kv-list"

// recordParts notes the parts of a prompt. The caller holds the lock.
func (w *Worker) recordParts(prefix string) {
	for _, entry := range strings.Split(prefix, ",") {
		id, size, found := strings.Cut(strings.TrimSpace(entry), ":")
		if tokens, err := strconv.Atoi(size); found && err == nil {
			w.parts[id] = tokens
		}
	}
}

// serveCachedParts lists the parts.
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
