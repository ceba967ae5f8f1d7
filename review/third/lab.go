package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// wordsFile holds the names of the platform's pages, so that no source outside its adapter uses them.
//
//go:embed words.json
var wordsFile []byte

var words = map[string]any{}

func word(name string) string { return words[name].(string) }

// lab runs the product's processes on loopback addresses of its own and writes the record.
type lab struct {
	dir     string
	program string
	net     string
	record  *os.File
	start   time.Time
	mu      sync.Mutex
	nodes   []*node
	trouble bool
}

// node is one machine with one process of the product.
type node struct {
	lab                  *lab
	name, role, ip, zone string
	first                bool
	cmd                  *exec.Cmd
	done                 chan struct{}
	stopping             bool
}

func newLab(folder, program string) (*lab, error) {
	if err := json.Unmarshal(wordsFile, &words); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, program: program, record: record, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	l.net = fmt.Sprintf("127.%d.%d", 32+rand.IntN(200), 1+rand.IntN(250))
	l.note("trouble=%v addresses=%s.*", l.trouble, l.net)
	return l, nil
}

func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(l.record, line)
	fmt.Println(line)
}

func (l *lab) addNode(role, name, zone string, number int) *node {
	n := &node{lab: l, name: name, role: role, zone: zone, ip: fmt.Sprintf("%s.%d", l.net, number), first: true}
	l.nodes = append(l.nodes, n)
	return n
}

func (l *lab) seeds() []string {
	all := []string{}
	for _, n := range l.nodes {
		if n.role == "control-node" && len(all) < 3 {
			all = append(all, n.control())
		}
	}
	return all
}

func (n *node) control() string { return n.ip + ":18146" }
func (n *node) front() string   { return n.ip + ":18144" }
func (n *node) data() string    { return filepath.Join(n.lab.dir, n.name, "data") }

// fill replaces the placeholders in a template.
func fill(v any, values map[string]any) any {
	switch v := v.(type) {
	case map[string]any:
		out := map[string]any{}
		for k, item := range v {
			out[k] = fill(item, values)
		}
		return out
	case []any:
		out := []any{}
		for _, item := range v {
			out = append(out, fill(item, values))
		}
		return out
	case string:
		if !strings.Contains(v, "$") {
			return v
		}
		if exact, ok := values[v]; ok {
			return exact
		}
		for k, item := range values {
			if text, ok := item.(string); ok {
				v = strings.ReplaceAll(v, k, text)
			}
		}
		return v
	}
	return v
}

func (n *node) startProcess() error {
	core := n.role == "control-node"
	values := map[string]any{"$NAME": n.name, "$ROLE": n.role, "$CLASS": "frontend", "$SERVES": "frontend", "$IP": n.ip, "$ZONE": n.zone,
		"$SEEDS": n.lab.seeds(), "$FIRST": n.first, "$COUNTED": core, "$DATA": nil, "$DISK": 0}
	listen := words["listenFront"]
	if core {
		values["$CLASS"], values["$SERVES"], values["$DATA"], values["$DISK"] = "core", "control_plane", n.data(), 128
		listen = words["listenCore"]
		if err := os.MkdirAll(n.data(), 0o755); err != nil {
			return err
		}
	}
	values["$LISTEN"] = fill(listen, map[string]any{"$IP": n.ip})
	raw, err := json.MarshalIndent(fill(words["settings"], values), "", " ")
	if err != nil {
		return err
	}
	folder := filepath.Join(n.lab.dir, n.name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(folder, "node.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	args := []string{"platform", n.role}
	if os.Getenv("ALOUD") != "" {
		args = append(args, "--aloud")
	}
	cmd := exec.Command(n.lab.program, args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, word("settingsVariable") + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.done = cmd, make(chan struct{})
	n.first = false
	done := n.done
	go func() {
		err := cmd.Wait()
		n.lab.note("%s (process %d) ended: %v", n.name, cmd.Process.Pid, err)
		close(done)
	}()
	n.lab.note("%s (process %d) started", n.name, cmd.Process.Pid)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.lab.note("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.done
}

func (l *lab) close() {
	for _, n := range l.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		l.note("kept %s", l.dir)
	}
	_ = l.record.Close()
}

var web = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}}

// call sends one request and returns the status and the body; status 0 without an answer.
func call(method, url string, headers map[string]string, body []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	res, err := web.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(raw)
}

var errNoAnswer = errors.New("no clear answer")

// configure sends one change as an operator does, to one node after another until the answer is clear.
func (l *lab) configure(path string, base uint64, body string, nodes []*node, within time.Duration) (int, error) {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		n := nodes[i%len(nodes)]
		status, text := call(http.MethodPost, "http://"+n.control()+path, map[string]string{word("base"): fmt.Sprint(base), "Content-Type": "application/json"}, []byte(body), time.Second)
		l.note("operator sends %s on %d to %s: %d %.160s", path, base, n.name, status, strings.TrimSpace(text))
		if status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429) {
			return status, nil
		}
		time.Sleep(min(time.Duration(50+50*i)*time.Millisecond, 500*time.Millisecond))
	}
	return 0, errNoAnswer
}

// readVersion asks one node for the configuration; 0 without a clear answer.
func (l *lab) readVersion(n *node) (version uint64, status int, text string) {
	status, text = call(http.MethodGet, "http://"+n.control()+word("read"), nil, nil, time.Second)
	doc := struct{ Version uint64 }{}
	if status == 200 && json.Unmarshal([]byte(text), &doc) == nil {
		return doc.Version, status, text
	}
	return 0, status, text
}
