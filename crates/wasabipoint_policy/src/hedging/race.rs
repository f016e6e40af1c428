//! Which of two attempts of a hedged request is delivered.

/// One of the two attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entrant {
    /// The attempt that was sent first.
    First,
    /// The second attempt.
    Hedge,
}

/// How good the end of an attempt is for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptGrade {
    /// A response that the caller can use.
    Good,
    /// A response that reports a failure of the endpoint, which is delivered if there is none other.
    Poor,
    /// No response.
    Failed,
}

/// What happens after an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RaceStep {
    /// The other attempt is awaited.
    Wait,
    /// The response of this attempt is delivered, and the other one is cancelled if it has not ended.
    Deliver(Entrant),
    /// Both attempts failed.
    Fail,
}

/// The state of the two attempts. Delivers at most one response.
#[derive(Debug, Default)]
pub struct HedgeRace {
    first: Option<AttemptGrade>,
    hedge: Option<AttemptGrade>,
    is_over: bool,
}

impl HedgeRace {
    /// Creates the state of two attempts that have not ended.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether an attempt has ended.
    pub fn has_ended(&self, entrant: Entrant) -> bool {
        match entrant {
            Entrant::First => self.first.is_some(),
            Entrant::Hedge => self.hedge.is_some(),
        }
    }

    /// Records the end of an attempt. One that ends after the race, or a second time, changes nothing.
    pub fn record(&mut self, entrant: Entrant, grade: AttemptGrade) -> RaceStep {
        if self.is_over || self.has_ended(entrant) {
            return RaceStep::Wait;
        }
        match entrant {
            Entrant::First => self.first = Some(grade),
            Entrant::Hedge => self.hedge = Some(grade),
        }
        if grade == AttemptGrade::Good {
            self.is_over = true;
            return RaceStep::Deliver(entrant);
        }
        if self.first.is_none() || self.hedge.is_none() {
            return RaceStep::Wait;
        }
        self.expire()
    }

    /// Ends the race because no attempt is awaited any longer.
    pub fn expire(&mut self) -> RaceStep {
        if std::mem::replace(&mut self.is_over, true) {
            return RaceStep::Wait;
        }
        match (self.first, self.hedge) {
            (_, Some(AttemptGrade::Poor)) => RaceStep::Deliver(Entrant::Hedge),
            (Some(AttemptGrade::Poor), _) => RaceStep::Deliver(Entrant::First),
            _ => RaceStep::Fail,
        }
    }
}
