package peer

import (
	"net/http"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/internal/socket"
)

// DropAbandoned returns a handler that passes requests on to next unless their sender has closed the connection
// before they were read, for instance while the process stood still. net/http notices that only while the
// request is being served.
func DropAbandoned(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*acceptedConn); ok && socket.HasEnded(conn.Conn) {
			klog.Infof("exec: %s %s is dropped, its sender left before it was read.", r.Method, r.URL.Path)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
