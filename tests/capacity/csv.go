package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
)

var columns = []string{
	"run", "axis", "offices", "desks", "replicas", "models", "adapters", "running", "changes_per_s", "loads_per_s", "heartbeat_ms", "beats_per_s",
	"role", "quantity", "unit", "value",
}

func number(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e15 {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', 6, 64)
}

// WriteCSV writes one line for each figure of each run.
func WriteCSV(w io.Writer, runs []*Run) error {
	out := csv.NewWriter(w)
	if err := out.Write(columns); err != nil {
		return errors.Trace(err)
	}
	for i, r := range runs {
		z := r.Size
		head := []string{
			strconv.Itoa(i + 1), r.Axis, strconv.Itoa(z.ControlNodes), strconv.Itoa(z.Gateways), strconv.Itoa(z.Replicas), strconv.Itoa(z.Models), strconv.Itoa(z.Adapters),
			strconv.Itoa(z.Running), number(z.ChangesPerS), number(z.LoadsPerS), strconv.Itoa(z.HeartbeatMs), number(r.BeatS),
		}
		for _, row := range r.Rows {
			if err := out.Write(append(append([]string{}, head...), row.Role, row.Quantity, row.Unit, number(row.Value))); err != nil {
				return errors.Trace(err)
			}
		}
	}
	out.Flush()
	return errors.Trace(out.Error())
}

// ReadCSV reads what WriteCSV wrote.
func ReadCSV(r io.Reader) ([]*Run, error) {
	lines, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, fault.New(fault.BadField, "csv", "%v", err)
	}
	if len(lines) == 0 || fmt.Sprint(lines[0]) != fmt.Sprint(columns) {
		return nil, fault.New(fault.BadField, "csv", "its first line is not %v", columns)
	}
	runs := []*Run{}
	at := ""
	for i, l := range lines[1:] {
		n := make([]float64, len(l))
		for _, k := range []int{0, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 15} {
			if n[k], err = strconv.ParseFloat(l[k], 64); err != nil {
				return nil, fault.New(fault.BadField, "csv", "line %d: %s: %v", i+2, columns[k], err)
			}
		}
		if l[0] != at || len(runs) == 0 {
			at = l[0]
			runs = append(runs, &Run{Axis: l[1], BeatS: n[11], Size: Size{
				ControlNodes: int(n[2]), Gateways: int(n[3]), Replicas: int(n[4]), Models: int(n[5]), Adapters: int(n[6]), Running: int(n[7]),
				ChangesPerS: n[8], LoadsPerS: n[9], HeartbeatMs: int(n[10]),
			}})
		}
		runs[len(runs)-1].add(l[12], l[13], l[14], n[15])
	}
	return runs, nil
}

// LoadCSV reads a file of runs.
func LoadCSV(path string) ([]*Run, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.New(fault.NotFound, path, "%v", err)
	}
	defer file.Close()
	return ReadCSV(file)
}

// SaveCSV replaces a file of runs as a whole.
func SaveCSV(path string, runs []*Run) error {
	file, err := os.Create(path + ".new")
	if err != nil {
		return fault.New(fault.DataNotWritable, path, "%v", err)
	}
	if err := WriteCSV(file, runs); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fault.New(fault.DataNotWritable, path, "%v", err)
	}
	return errors.Trace(os.Rename(path+".new", path))
}

// KeptBut are the runs of a file, where there is one, without those of the axes that are played now.
func KeptBut(path string, plans []Plan) ([]*Run, error) {
	if _, err := os.Stat(path); os.IsNotExist(err) {
		return nil, nil
	}
	runs, err := LoadCSV(path)
	if err != nil {
		return nil, err
	}
	kept := []*Run{}
	for _, r := range runs {
		played := false
		for _, p := range plans {
			played = played || p.Axis == r.Axis
		}
		if !played {
			kept = append(kept, r)
		}
	}
	return kept, nil
}

// Print is a run's table.
func Print(w io.Writer, r *Run) {
	fmt.Fprintf(w, "%s: %s, %.4g heartbeats/s\n", r.Axis, r.Size, r.BeatS)
	for _, row := range r.Rows {
		fmt.Fprintf(w, "  %-16s %-52s %12.5g %s\n", row.Role, row.Quantity, row.Value, row.Unit)
	}
}
