package peers

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// messages are the messages that instances of different builds send each other.
var messages = []any{exchange{}, configMessage{}, holdBillsMessage{}, documentMessage{}, relayOpen{}, relayOpened{}, relayData{}}

// TestMessagesOfEarlierBuildsAreUnderstood guards against a field of a message whose key or
// type has changed, so that instances of an earlier build misread or miss it. Fields may be
// added. The file lists the fields of the landings so far.
func TestMessagesOfEarlierBuildsAreUnderstood(t *testing.T) {
	data, err := os.ReadFile("testdata/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	fields := map[string]bool{}
	for _, message := range messages {
		listFields(reflect.TypeOf(message), fields)
	}
	for _, name := range []string{rpcExchange, rpcConfig, rpcOfferConfig, rpcHoldBills, rpcDocument, rpcOfferDocument, rpcRelay} {
		fields["call "+name] = true
	}
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); !fields[line] {
			t.Errorf("%q is not understood any more", line)
		}
	}
}

// listFields adds the key and the encoded type of each field of a message and of the types in
// it.
func listFields(message reflect.Type, fields map[string]bool) {
	switch message.Kind() {
	case reflect.Slice, reflect.Map, reflect.Pointer, reflect.Array:
		listFields(message.Elem(), fields)
		return
	case reflect.Struct:
	default:
		return
	}
	for n := range message.NumField() {
		field := message.Field(n)
		key, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
		if key == "" {
			key = field.Name
		}
		line := fmt.Sprintf("%s %s %s", message.Name(), key, encodedType(field.Type))
		if !fields[line] {
			fields[line] = true
			listFields(field.Type, fields)
		}
	}
}

// encodedType describes how a type is encoded, whatever its name.
func encodedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "[]" + encodedType(t.Elem())
	case reflect.Map:
		return "map[" + encodedType(t.Key()) + "]" + encodedType(t.Elem())
	case reflect.Struct:
		return t.Name()
	}
	return t.Kind().String()
}
