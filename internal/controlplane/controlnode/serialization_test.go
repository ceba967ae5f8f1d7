package controlnode

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
)

var writeGolden = flag.Bool("write-forms", false, "write testdata/forms anew; only for a form that is meant to change")

// serializedTypes are all types that are written to the log or to snapshots, sent between processes, or shown to operators by a
// control node, by the name of their golden file. Other versions read the field names in testdata/forms, so these must not
// change when identifiers are renamed.
var serializedTypes = map[string]any{
	"log-record":        chain.Record{},
	"snapshot":          chain.Snapshot{},
	"ledger-state":      statemachine.State{},
	"post":              peering.Batch{},
	"where-ask":         wire.MembershipRequest{},
	"where":             wire.MembershipResponse{},
	"result":            wire.Result{},
	"follow":            wire.SubscribeRequest{},
	"news":              wire.GatewayUpdate{},
	"frame":             wire.Frame{},
	"report":            wire.Report{},
	"lease":             wire.Lease{},
	"quota-ask":         wire.QuotaRequest{},
	"quota-answer":      wire.QuotaResponse{},
	"beat":              failuredetector.Heartbeat{},
	"replica-state":     wire.ReplicaState{},
	"order":             wire.Order{},
	"replica-list":      wire.ReplicaList{},
	"attempt":           wire.Attempt{},
	"attempt-piece":     wire.Chunk{},
	"attempt-refusal":   wire.AttemptRefusal{},
	"read":              LatestStateRequest{},
	"newest":            LatestState{},
	"status":            Status{},
	"configuration-now": CurrentConfig{},
	"applied":           ChangeAck{},
}

// fillValue sets every exported field reachable from v, with one element in each list and map. A type nested in itself is left
// empty.
func fillValue(v reflect.Value, enclosing map[reflect.Type]bool) {
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes([]byte(`{}`))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("s")
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Pointer:
		if enclosing[v.Type().Elem()] {
			return
		}
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(v.Elem(), enclosing)
	case reflect.Slice:
		if enclosing[v.Type().Elem()] {
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillValue(v.Index(0), enclosing)
	case reflect.Array:
		for i := range v.Len() {
			fillValue(v.Index(i), enclosing)
		}
	case reflect.Map:
		if enclosing[v.Type().Elem()] {
			return
		}
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillValue(key, enclosing)
		fillValue(value, enclosing)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		enclosing[v.Type()] = true
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fillValue(v.Field(i), enclosing)
			}
		}
		delete(enclosing, v.Type())
	}
}

// What another version has written can be read without unknown fields, and is written again with the same field names.
func TestSerializedTypesMatchGoldenFiles(t *testing.T) {
	for name, value := range serializedTypes {
		path := filepath.Join("testdata", "forms", name+".json")
		filled := reflect.New(reflect.TypeOf(value))
		fillValue(filled.Elem(), map[reflect.Type]bool{})
		written, err := json.MarshalIndent(filled.Interface(), "", "  ")
		if err != nil {
			t.Fatal(name, err)
		}
		written = append(written, '\n')
		if *writeGolden {
			if err := os.WriteFile(path, written, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		golden, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(written, golden) {
			t.Errorf("encoding of %s differs from %s: got\n%s", name, path, written)
		}
		read := reflect.New(reflect.TypeOf(value))
		strict := json.NewDecoder(bytes.NewReader(golden))
		strict.DisallowUnknownFields()
		if err := strict.Decode(read.Interface()); err != nil {
			t.Errorf("decode %s: %v", path, err)
			continue
		}
		again, err := json.MarshalIndent(read.Interface(), "", "  ")
		if err != nil {
			t.Fatal(name, err)
		}
		if !bytes.Equal(append(again, '\n'), golden) {
			t.Errorf("%s decoded and encoded again differs from %s: got\n%s", name, path, again)
		}
	}
}
