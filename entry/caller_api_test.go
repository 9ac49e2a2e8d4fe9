package entry

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestPathsThatAServiceMightResolveOtherwiseAreNotPlain(t *testing.T) {
	g := NewWithT(t)
	for _, plain := range []string{"/services/desk", "/services/desk/", "/services/desk/stock/salt", "/services/desk/a..b"} {
		g.Expect(isCleanPath(plain)).To(BeTrue(), plain)
	}
	for _, other := range []string{"/services/desk/stock/../orders", "/services/desk//orders", "/services/desk/./orders", "/services/desk/stock/.."} {
		g.Expect(isCleanPath(other)).To(BeFalse(), other)
	}
}
