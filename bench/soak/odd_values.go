package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// oddValues are values that an entry of a configuration may have, most of which can't be used.
var oddValues = []string{
	`null`, `7`, `-1`, `0.5`, `1e400`, `18446744073709551616`, `true`, `"x"`, `""`, `[]`, `{}`, `[{}]`, `"a b"`,
	`"\u0000"`,
	`"` + strings.Repeat("k", 2000) + `"`, strings.Repeat("[", 300) + strings.Repeat("]", 300),
}

// withOddValues returns an encoded configuration with numbers that aren't whole and with entries of random values
// beside its own, which have to take effect nevertheless.
func withOddValues(r *rand.Rand, text string) string {
	v := func() string { return oddValues[r.IntN(len(oddValues))] }
	service := fmt.Sprintf(`{"name":"odd","health-path":%s,"max-conns":%s,"warmup-s":%s,"warmup-per-s":%s},%s`, v(), v(),
		v(), v(), v())
	route := fmt.Sprintf(`{"host":"odd.example","paths":[{"name":%s,"path-prefix":%s,"kind":%s,"timeout-ms":%s,"aim-ms":%s,
"priority":%s,"service":%s,"max-attempts":%s,"public":%s,"traffic-split":%s},%s]},%s`, v(), v(), v(), v(), v(), v(),
		v(), v(), v(), v(), v(), v())
	tenant := fmt.Sprintf(`{"name":%s,"api-keys":[%s,%s],"priority":%s,"rate-per-s":%s,"burst":%s},%s`, v(), v(), v(), v(),
		v(), v(), v())
	weight := 0.25 + float64(r.IntN(100))/8
	return strings.NewReplacer(
		`"services":[`, `"services":[`+service+",", `"hosts":[`, `"hosts":[`+route+",",
		`"tenants":[`, `"tenants":[`+tenant+",", `"weight":1}`, fmt.Sprintf(`"weight":%g}`, weight),
		`"timeout-ms":2000`, `"timeout-ms":2000.5`,
	).Replace(text)
}
