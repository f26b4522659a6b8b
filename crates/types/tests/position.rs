//! Properties of term histories and positions.

use quickcheck::quickcheck;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

quickcheck! {
    // Guards against a position that was lost in a promotion and counts as present, because the
    // next term has a record at the same position.
    fn position_belongs_to_exactly_one_term(lengths: Vec<u8>, probe: u16) -> bool {
        let mut history = TermHistory::default();
        let mut first = 1;
        for (i, length) in lengths.iter().enumerate() {
            history.push(TermNumber(i as u64 + 1), LogPosition(first));
            first += u64::from(*length) + 1;
        }
        let position = LogPosition(u64::from(probe) + 1);
        let holders = (1..=lengths.len() as u64)
            .filter(|&t| history.contains(GroupPosition { term: TermNumber(t), position }))
            .collect::<Vec<_>>();
        match history.term_at(position) {
            Some(term) => holders == [term.0],
            None => holders.is_empty(),
        }
    }

    // Guards against a text form that loses the term or the position.
    fn position_text_round_trips(term: u64, position: u64) -> bool {
        let wanted = GroupPosition::new(term, position);
        wanted.to_string().parse() == Ok(wanted)
    }
}
