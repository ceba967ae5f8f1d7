package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
)

// Bench plays days on the users' bench, which builds and measures a checkout. Each variant has a clone of its own of
// the commit that is checked out, in which the deploy file switches its mechanisms off.
type Bench struct {
	// Program and Repo are the bench and the repository; Folder takes the clones, reports and what the bench printed.
	Program, Repo, Folder string
	Why                   string

	mu     sync.Mutex
	clones map[string]string
}

const deployFile = "deploy/system.toml"

// report is what is read of the bench's report of a day.
type report struct {
	Worth  float64        `json:"G"`
	Served float64        `json:"served"`
	Breaks map[string]any `json:"breaks"`
}

// Play implements Player.
func (b *Bench) Play(ctx context.Context, v Variant, d Day) (Result, error) {
	clone, err := b.clone(ctx, v)
	if err != nil {
		return Result{}, err
	}
	name := fmt.Sprintf("%s-%s-%d", v.Name, strings.TrimSuffix(filepath.Base(d.Name), ".toml"), d.Seed)
	path := filepath.Join(b.Folder, name+".json")
	args := []string{"run", d.Site, d.Name, "--report", path, "--why", b.Why + ": " + v.Name}
	if d.Seed != 0 {
		args = append(args, "--seed", strconv.FormatInt(d.Seed, 10))
	}
	command := exec.CommandContext(ctx, b.Program, args...)
	command.Dir = clone
	printed, playErr := command.CombinedOutput()
	if err := os.WriteFile(filepath.Join(b.Folder, name+".txt"), printed, 0o644); err != nil {
		return Result{}, err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Result{}, fmt.Errorf("no report (%w): %w", playErr, err)
	}
	var r report
	if err := json.Unmarshal(raw, &r); err != nil {
		return Result{}, err
	}
	return Result{Variant: v.Name, Day: d, Worth: r.Worth, Served: r.Served, Broken: len(r.Breaks)}, nil
}

// clone gives the checkout of a variant, and makes it the first time.
func (b *Bench) clone(ctx context.Context, v Variant) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if folder, made := b.clones[v.Name]; made {
		return folder, nil
	}
	folder := filepath.Join(b.Folder, "clone-"+v.Name)
	if out, err := exec.CommandContext(ctx, "git", "clone", "--quiet", b.Repo, folder).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	path := filepath.Join(folder, deployFile)
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(path, disabled(raw, v), 0o644); err != nil {
		return "", err
	}
	if b.clones == nil {
		b.clones = map[string]string{}
	}
	b.clones[v.Name] = folder
	return folder, nil
}

var runLine = regexp.MustCompile(`(?m)^(run\s*=\s*"[^"]*)"`)

// disabled is a deploy file in which every role is told to switch a variant's mechanisms off.
func disabled(deploy []byte, v Variant) []byte {
	if len(v.Disable) == 0 {
		return deploy
	}
	return runLine.ReplaceAll(deploy, []byte(`${1} --disable `+v.Disable.String()+`"`))
}
