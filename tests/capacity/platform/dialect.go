// Package platform is how hollow replicas, a hollow operator and a settings file speak the platform's words.
package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// SettingsVariable names the variable that holds the path of a process's settings.
const SettingsVariable = "PETRELTIDE_NODE_FILE"

// Ports of every process, each of which has an address of its own.
const (
	controlPort  = 7650
	internalPort = 7660
	frontPort    = 7640
	readyPort    = 7641
)

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Control is where a control node hears replicas and operators.
func Control(ip string) string { return at(ip, controlPort) }

// Internal is where a control node hears other control nodes and gateways.
func Internal(ip string) string { return at(ip, internalPort) }

// Gateway is where a gateway hears its own kind.
func Gateway(ip string) string { return at(ip, internalPort+1) }

// Node is what a process is told.
type Node struct {
	Name, Role, IP, Zone, Data string
	Zones                      map[string]string
	Seeds                      []string
	First                      bool
	BeatMs                     int
}

func must(v any) []byte {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err)
	}
	return raw
}

// Settings is the file that a process reads.
func (n Node) Settings() []byte {
	seeds := []string{}
	for _, ip := range n.Seeds {
		seeds = append(seeds, Control(ip))
	}
	node := map[string]any{
		"nodeName": n.Name, "role": n.Role, "ipAddress": n.IP, "zone": n.Zone, "region": n.Zones[n.Zone], "zones": n.Zones,
		"internalPortRange": []int{internalPort, internalPort + 15}, "seedNodes": seeds, "firstStart": n.First,
		"limits": map[string]any{"memoryMb": 0, "fileDescriptors": 0}, "heartbeatIntervalMs": n.BeatMs,
		"faultTolerance": map[string]any{"machines": 1},
		"bounds": map[string]any{
			"gracePeriodS": 8, "retryBudgetRatio": 0.2, "retryBudgetSlack": 58, "budgetWindowS": 10, "leaseMs": 3000,
			"ceilingWindowS": 5, "ceilingOvershoot": 1.1, "drainMs": 2000,
		},
		"listenAddresses": map[string]string{"frontHttp": at(n.IP, frontPort), "readiness": at(n.IP, readyPort)},
	}
	if n.Data != "" {
		node["dataDirectory"] = n.Data
		node["listenAddresses"] = map[string]string{"controlPlane": Control(n.IP)}
	}
	return must(node)
}

// Beat is what a replica says of itself. Units are models, and adapters as "model/adapter".
type Beat struct {
	Service, Addr, Zone string
	Slots               int
	Units               []string
	Seq                 uint64
}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func models(units []string) []heldModel {
	byModel := map[string][]string{}
	for _, u := range units {
		model, adapter, has := strings.Cut(u, "/")
		if byModel[model] == nil {
			byModel[model] = []string{}
		}
		if has {
			byModel[model] = append(byModel[model], adapter)
		}
	}
	all := []heldModel{}
	for name, adapters := range byModel {
		slices.Sort(adapters)
		all = append(all, heldModel{name, 1, adapters})
	}
	slices.SortFunc(all, func(a, b heldModel) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// BeatPath is where a replica's word goes.
func BeatPath(id string) string { return "/instances/" + id + "/heartbeat" }

// Body is a heartbeat on the wire.
func (b Beat) Body() []byte {
	raw, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Addr, "zone": b.Zone, "version": "v1", "capacitySlots": b.Slots, "state": "ready", "coldRemainingMs": 0,
		"stage": "prefill_and_decode", "models": models(b.Units), "callSequence": b.Seq,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// Report answers the question what a replica holds and does.
func (b Beat) Report(busy bool) []byte {
	raw, err := json.Marshal(map[string]any{
		"stage": "prefill_and_decode", "models": models(b.Units), "busy": busy, "callSequence": b.Seq,
		"waiting": 0, "running": 4, "cacheUsed": 41000, "cacheTotal": 90000, "handledModels": 2,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// OrderPath is where a replica takes orders.
const OrderPath = "/order"

// Order is one order to a replica.
type Order struct {
	Model, Adapter string
	Unload         bool
}

// ReadOrder reads an order; false where it is none.
func ReadOrder(raw []byte) (Order, bool) {
	o := struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
	}{}
	if json.Unmarshal(raw, &o) != nil || o.Model == "" {
		return Order{}, false
	}
	return Order{Model: o.Model, Adapter: o.Adapter, Unload: o.Operation == "unloading"}, true
}

// Meant is the incarnation that a caller takes a replica to be in, where it says so.
func Meant(h http.Header) string { return h.Get("Expected-Instance") }

// Elsewhere answers a caller who meant another incarnation.
func Elsewhere(w http.ResponseWriter, id string) {
	w.Header().Set("Instance-Id", id)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// Model is one that a service's engine names.
type Model struct {
	Name      string
	Mb        int
	Load      time.Duration
	Adapters  int
	AdapterMb int
}

// Engine is a service with models.
type Engine struct {
	Service       string
	Slots, RoomMb int
	LoadsPerS     float64
	Models        []Model
}

func route(service string, n, timeoutMs int) map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("route-%03d", n), "hostName": fmt.Sprintf("host%03d.example", n), "pathPrefix": "/write/", "routeKind": "streaming",
		"timeoutMs": timeoutMs, "targetLatencyMs": 1100, "targetGapMs": 31, "priority": n % 3, "service": service, "maxAttempts": 2,
		"sessionAffinity": true, "resumable": true,
	}
}

// ReplacePath and UpdatePath take configurations.
const (
	ReplacePath = "/configuration/replace"
	UpdatePath  = "/configuration/update"
	// BasedOn names the version that an order builds on.
	BasedOn = "Based-On-Version"
)

// Whole is a configuration with some routes.
func Whole(e Engine, routes int, version uint64) []byte {
	all, rows := []map[string]any{}, []map[string]any{}
	for _, m := range e.Models {
		rows = append(rows, map[string]any{
			"name": m.Name, "weightsSizeMb": m.Mb, "loadDurationS": m.Load.Seconds(), "adapters": m.Adapters, "adapterSizeMb": m.AdapterMb,
		})
	}
	for n := range routes {
		all = append(all, route(e.Service, n, 10_000))
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": all,
		"services": []map[string]any{{
			"name": e.Service, "healthPath": "/health", "connectionLimit": 500, "protocol": "h1", "tlsEnabled": false,
			"engine": map[string]any{
				"capacitySlots": e.Slots, "cacheCapacityTokens": 123322, "cacheTokenBytes": 131072, "linkMbps": 130000.0, "stride": 2, "models": rows,
				"weightsSizeMb": e.RoomMb, "adapterCapacity": 8, "loadsPerS": e.LoadsPerS,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// Edit changes one route.
func Edit(service string, n, timeoutMs int, version uint64) []byte {
	raw, err := json.Marshal(map[string]any{
		"version": version, "upsert": map[string]any{"routes": []map[string]any{route(service, n, timeoutMs)}},
	})
	if err != nil {
		panic(err)
	}
	return raw
}
