package loopback

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Tables of the kernel's sockets, and the state of TCP sockets that listen.
const (
	tcpTable       = "/proc/net/tcp"
	udpTable       = "/proc/net/udp"
	tcpStateListen = "0A"
)

// Bound returns the addresses on the network at which TCP sockets listen or UDP sockets are
// bound, whichever process has them. On systems without tables of sockets it returns none.
func (n *Network) Bound() ([]string, error) {
	var bound []string
	for _, table := range []string{tcpTable, udpTable} {
		raw, err := os.ReadFile(table)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, eris.Wrap(err, "can't read the table of sockets")
		}
		for line := range strings.Lines(string(raw)) {
			if address, ok := n.boundAt(table, line); ok {
				bound = append(bound, address)
			}
		}
	}
	return bound, nil
}

// boundAt returns the local address of a line of a table if it counts as bound on the network.
func (n *Network) boundAt(table, line string) (string, bool) {
	const localField, stateField = 1, 3
	fields := strings.Fields(line)
	if len(fields) <= stateField || table == tcpTable && fields[stateField] != tcpStateListen {
		return "", false
	}
	address, err := parseLocalAddress(fields[localField])
	if err != nil || !strings.HasPrefix(address, n.Prefix+".") || address == n.lock.Addr().String() {
		return "", false
	}
	return address, true
}

// parseLocalAddress parses an address of a table: the IP as a number in the machine's byte
// order and the port, both hexadecimal.
func parseLocalAddress(text string) (string, error) {
	host, port, _ := strings.Cut(text, ":")
	raw, err := hex.DecodeString(host)
	if err != nil || len(raw) != net.IPv4len {
		return "", eris.Errorf("%q is no address", text)
	}
	number, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return "", eris.Wrap(err, "the port is no number")
	}
	ip := make(net.IP, net.IPv4len)
	binary.NativeEndian.PutUint32(ip, binary.BigEndian.Uint32(raw))
	return fmt.Sprintf("%s:%d", ip, number), nil
}
