package golden

import (
	"encoding"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"
)

// filled is a value of a type with every field set, from the name that the field has in JSON and its place in the
// value, never from its name in Go: a field that is renamed and keeps its tag keeps its value.
func filled(of reflect.Type) (reflect.Value, error) {
	value := reflect.New(of).Elem()
	return value, fill(value, "", nil)
}

// mark is a number that belongs to a place in a value.
func mark(path string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(path))
	return sum.Sum32()%900 + 100
}

// word is a text that belongs to a place in a value.
func word(path string) string {
	return fmt.Sprintf("%s-%d", path[strings.LastIndex(path, "/")+1:], mark(path))
}

var (
	rawMessage      = reflect.TypeFor[json.RawMessage]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// fill sets what a path leads to; above are the types that hold it. A type within itself stays empty.
func fill(value reflect.Value, path string, above []reflect.Type) error {
	of := value.Type()
	if of == rawMessage {
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, mark(path)))
		return nil
	}
	if reflect.PointerTo(of).Implements(textUnmarshaler) {
		return value.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(word(path) + "|" + word(path+"/2")))
	}
	switch of.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int8:
		value.SetInt(int64(mark(path) % 100))
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(mark(path)))
	case reflect.Uint8:
		value.SetUint(uint64(mark(path) % 200))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(mark(path)))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(mark(path)) + 0.5)
	case reflect.String:
		value.SetString(word(path))
	case reflect.Pointer:
		value.Set(reflect.New(of.Elem()))
		return fill(value.Elem(), path, above)
	case reflect.Slice, reflect.Array, reflect.Map:
		return fillMany(value, path, above)
	case reflect.Struct:
		return fillStruct(value, path, above)
	case reflect.Interface:
		if of.NumMethod() > 0 {
			return fmt.Errorf("%s at %q can't be filled", of, path)
		}
		value.Set(reflect.ValueOf(word(path)))
	default:
		return fmt.Errorf("%s at %q can't be filled", of, path)
	}
	return nil
}

func fillMany(value reflect.Value, path string, above []reflect.Type) error {
	of := value.Type()
	if of.Kind() == reflect.Array {
		for i := range value.Len() {
			if err := fill(value.Index(i), fmt.Sprintf("%s/%d", path, i), above); err != nil {
				return err
			}
		}
		return nil
	}
	if within(of.Elem(), above) {
		return nil
	}
	const elements = 2
	if of.Kind() == reflect.Slice {
		value.Set(reflect.MakeSlice(of, elements, elements))
		return fillElements(value, path, above)
	}
	value.Set(reflect.MakeMap(of))
	for i := range elements {
		key, element := reflect.New(of.Key()).Elem(), reflect.New(of.Elem()).Elem()
		if err := fill(key, fmt.Sprintf("%s/key%d", path, i), above); err != nil {
			return err
		}
		if err := fill(element, fmt.Sprintf("%s/%d", path, i), above); err != nil {
			return err
		}
		value.SetMapIndex(key, element)
	}
	return nil
}

func fillElements(value reflect.Value, path string, above []reflect.Type) error {
	for i := range value.Len() {
		if err := fill(value.Index(i), fmt.Sprintf("%s/%d", path, i), above); err != nil {
			return err
		}
	}
	return nil
}

func fillStruct(value reflect.Value, path string, above []reflect.Type) error {
	of := value.Type()
	above = append(above[:len(above):len(above)], of)
	for i := range of.NumField() {
		field := of.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "-" || within(field.Type, above) {
			continue
		}
		at := path
		if !field.Anonymous || name != "" {
			at += "/" + jsonName(field)
		}
		if err := fill(value.Field(i), at, above); err != nil {
			return err
		}
	}
	return nil
}

// jsonName is the name of a field in JSON.
func jsonName(field reflect.StructField) string {
	if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
		return name
	}
	return field.Name
}

// within says that a type, or what it points to, holds itself.
func within(of reflect.Type, above []reflect.Type) bool {
	for of.Kind() == reflect.Pointer {
		of = of.Elem()
	}
	for _, a := range above {
		if a == of {
			return true
		}
	}
	return false
}

// unset is the path of a first exported field that is zero, as a new field is that no form pins; "" where all are set.
func unset(value reflect.Value, path string, above []reflect.Type) string {
	of := value.Type()
	if of == rawMessage || reflect.PointerTo(of).Implements(textUnmarshaler) {
		if value.IsZero() {
			return path
		}
		return ""
	}
	switch of.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			return path
		}
		return unset(value.Elem(), path, above)
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			if bare := unset(value.Index(i), fmt.Sprintf("%s/%d", path, i), above); bare != "" {
				return bare
			}
		}
		if value.Len() == 0 && !within(of.Elem(), above) {
			return path
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			if bare := unset(value.MapIndex(key), path+"/"+fmt.Sprint(key), above); bare != "" {
				return bare
			}
		}
		if value.Len() == 0 && !within(of.Elem(), above) {
			return path
		}
	case reflect.Struct:
		return unsetField(value, path, above)
	default:
		if value.IsZero() {
			return path
		}
	}
	return ""
}

func unsetField(value reflect.Value, path string, above []reflect.Type) string {
	of := value.Type()
	above = append(above[:len(above):len(above)], of)
	for i := range of.NumField() {
		field := of.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "-" || within(field.Type, above) {
			continue
		}
		if bare := unset(value.Field(i), path+"/"+field.Name, above); bare != "" {
			return bare
		}
	}
	return ""
}
