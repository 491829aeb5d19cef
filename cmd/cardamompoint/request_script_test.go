package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// scriptRequest sends a raw request and prints its result: request ROUTER METHOD PATH [BODY].
// The body xN stands for N bytes.
func scriptRequest(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	router, err := strconv.Atoi(args[0])
	ts.Check(err)
	body := strings.Join(args[3:], " ")
	if size, err := strconv.Atoi(strings.TrimPrefix(body, "x")); err == nil {
		body = strings.Repeat(" ", size)
	}
	url := "http://" + s.fleet.settings[router-1].Callers + args[2]
	request, err := http.NewRequest(args[1], url, strings.NewReader(body))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	ts.Check(err)
	if response.StatusCode == http.StatusOK {
		fmt.Fprintln(ts.Stdout(), "200")
		return
	}
	coded := jsonhttp.DecodeError(response.StatusCode, raw)
	fmt.Fprintf(ts.Stdout(), "%d %d %s, %s, at %q, come back %t\n",
		response.StatusCode, coded.Code, coded.Name, coded.Run, coded.Path, response.Header.Get("Retry-After") != "")
}
