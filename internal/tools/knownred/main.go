// Command knownred runs all tests with the race detector and passes over just
// the failures that KNOWN-RED.txt names.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	os.Exit(run())
}

func run() int {
	known, err := readKnown("KNOWN-RED.txt")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	results, err := runTests()
	if err != nil {
		fmt.Println(err)
	}
	return judge(results, known, err != nil)
}

// readKnown returns the tests that the file names: the first word of each line
// that is neither empty nor a comment, as package.Test.
func readKnown(path string) (map[string]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	known := map[string]string{}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, " ")
		known[name] = line
	}
	return known, scanner.Err()
}

// results are the outcomes of all tests by package.Test; a package's own
// failure without a failed test is under the package's name.
type results struct {
	passed, skipped int
	failed          []string
	output          map[string]string
}

func runTests() (*results, error) {
	command := exec.Command("go", "test", "-race", "-json", "-timeout=20m", "./...")
	command.Stderr = os.Stderr
	pipe, err := command.StdoutPipe()
	if err != nil {
		return &results{}, err
	}
	if err := command.Start(); err != nil {
		return &results{}, err
	}
	collected, readErr := collect(pipe)
	if err := command.Wait(); err != nil {
		return collected, fmt.Errorf("go test: %w", err)
	}
	return collected, readErr
}

const maxLineBytes = 16 << 20

func collect(pipe io.Reader) (*results, error) {
	collected := &results{output: map[string]string{}}
	scanner := bufio.NewScanner(pipe)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		collected.take(e)
	}
	return collected, scanner.Err()
}

func (r *results) take(e event) {
	name := e.Package
	if e.Test != "" {
		name += "." + e.Test
	}
	switch e.Action {
	case "output":
		r.output[name] += e.Output
		if e.Test == "" && (strings.HasPrefix(e.Output, "ok") || strings.HasPrefix(e.Output, "FAIL\t")) {
			fmt.Print(e.Output)
		}
	case "fail":
		r.failed = append(r.failed, name)
	case "pass":
		if e.Test != "" {
			r.passed++
		}
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	}
}

// judge prints the failures and returns the exit code.
func judge(r *results, known map[string]string, broken bool) int {
	unknown := 0
	var passedOver []string
	for _, name := range r.failed {
		if isKnown(name, r.failed, known) {
			passedOver = append(passedOver, name)
			continue
		}
		unknown++
		fmt.Printf("--- FAIL: %s\n%s\n", name, r.output[name])
	}
	for _, name := range passedOver {
		if line, ok := known[name]; ok {
			fmt.Println("known red:", line)
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
	if unknown > 0 || (broken && len(passedOver) == 0) {
		return 1
	}
	return 0
}

// isKnown reports whether a failure is a known one: a test that is named, the
// parent of one, or a package in which all failed tests are known.
func isKnown(name string, failed []string, known map[string]string) bool {
	if _, ok := known[name]; ok {
		return true
	}
	prefix := name + "."
	if strings.Contains(name[strings.LastIndex(name, "/")+1:], ".") {
		prefix = name + "/"
	}
	children := slices.DeleteFunc(slices.Clone(failed), func(other string) bool {
		return !strings.HasPrefix(other, prefix)
	})
	if len(children) == 0 {
		return false
	}
	for _, child := range children {
		if !isKnown(child, failed, known) {
			return false
		}
	}
	return true
}
