// Package socket looks at TCP connections without reading from them.
package socket
