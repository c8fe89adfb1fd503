package dispatcher

// charge makes a call pay for being a repetition and reports false if the
// budget does not cover it.
//
// A retry costs one and entitles to one more run at each service below it.
// So a repeated run has one child call free of charge, which may again have
// one, down to a leaf. Each further child call of a repeated run would add a
// second run at some service, and costs one as well. Calls that are not
// repeatable run once whatever happens above them, and cost nothing.
func (c *call) charge() bool {
	switch {
	case !c.first.Repeatable:
		return true
	case c.resend:
		c.paid = c.budget.Take()
		return c.paid
	case c.parent == nil || !c.parent.repeats:
		return true
	case !c.parent.passed:
		c.parent.passed = true
		c.passed = true
		return true
	}
	c.paid = c.budget.Take()
	return c.paid
}

// refund undoes the charge of a call that was proved not to have run.
func (c *call) refund() {
	if c.passed && c.parent != nil && c.parent.attempt == c.run {
		c.parent.passed = false
	}
	if c.paid {
		c.budget.Return(1, 1)
	}
	c.passed, c.paid = false, false
}
