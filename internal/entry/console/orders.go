package console

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/order/ledger"
)

type ordersCommand struct {
	*options `no-flag:"true"`
	Account  string `long:"account" required:"true" description:"client account"`
}

// Execute prints the orders of the account whose outcome is unknown.
func (c *ordersCommand) Execute([]string) error {
	var claims []ledger.OpenClaim
	if err := c.call(http.MethodGet, "/v1/orders?account="+url.QueryEscape(c.Account), nil, &claims); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(claims)
	}
	for _, o := range claims {
		fmt.Fprintf(c.out, "key %s attempt %s since %s, request %s on %s\n",
			o.Key.Name, o.Attempt, o.At.Format(time.RFC3339), o.Request, o.Instance)
	}
	return nil
}

type settleCommand struct {
	*options    `no-flag:"true"`
	Account     string `long:"account" required:"true" description:"client account"`
	Key         string `long:"key" required:"true" description:"Idempotency-Key of the order"`
	Attempt     string `long:"attempt" required:"true" description:"attempt id printed by 'orders'"`
	Outcome     string `long:"outcome" required:"true" choice:"ran" choice:"notRun" description:"outcome that the service reports"`
	Status      int    `long:"status" default:"200" description:"HTTP status returned to callers if the order ran"`
	ContentType string `long:"contentType" default:"application/json" description:"content type of the response"`
	Body        string `long:"body" description:"response body returned to callers if the order ran"`
	Note        string `long:"note" description:"text for the audit trail"`
	Operator    string `long:"operator" env:"USER" description:"name in the audit trail"`
}

// Execute records whether an order with an unknown outcome ran.
func (c *settleCommand) Execute([]string) error {
	s := operator.Settlement{
		Account:  fleet.AccountID(c.Account),
		Key:      c.Key,
		Attempt:  order.AttemptID(c.Attempt),
		Operator: c.Operator,
		Note:     c.Note,
		Ran:      c.Outcome == "ran",
	}
	if s.Ran {
		s.Status, s.ContentType, s.Body = c.Status, c.ContentType, c.Body
	}
	var settled operator.Settlement
	if err := c.call(http.MethodPost, "/v1/settlements", s, &settled); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "settled: order %s of account %s, %s\n", c.Key, c.Account, c.Outcome)
	return nil
}
