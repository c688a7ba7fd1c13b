//! The output of `policy status`.

use orchidyoke_policy_commit::commit_point::{CommitPoint, Member, Vote};
use orchidyoke_policy_commit::coordinator::FleetStatus;
use orchidyoke_policy_commit::policy::VersionedPolicy;

/// Returns the lines of the output: one for the committed policy, one for the proposed policy if there is one, and one
/// for the version and vote of each forwarder.
pub fn policy_status(status: &FleetStatus) -> String {
    let describe = |policy: &VersionedPolicy| {
        format!("epoch {}, digest {}, by {}", policy.version, policy.digest, policy.proposed_by)
    };
    let committed = match &status.point.committed {
        Some(committed) => describe(&committed.policy),
        None => "none".to_owned(),
    };
    let mut lines = vec![format!("committed: {committed}")];
    if let Some(proposal) = &status.point.proposal {
        lines.push(format!("proposed: {}", describe(&proposal.policy)));
    }
    lines.extend(status.members.iter().map(|member| member_line(&status.point, member)));
    lines.join("\n") + "\n"
}

fn member_line(point: &CommitPoint, member: &Member) -> String {
    let Some(status) = &member.status else {
        return format!("{}: what it says of itself cannot be read", member.id);
    };
    let vote = match &point.proposal {
        None => String::new(),
        Some(proposal) => match member.vote_on(&proposal.policy.id) {
            None => ", has not voted".to_owned(),
            Some(Vote { rejection: None, .. }) => ", votes yes".to_owned(),
            Some(Vote { rejection: Some(reason), .. }) => format!(", votes no: {reason}"),
        },
    };
    let unusable = match &status.unusable_reason {
        None => String::new(),
        Some(reason) => format!(", cannot use what is committed: {reason}"),
    };
    format!("{}: epoch {}{vote}{unusable}", member.id, status.version)
}
